//! Which stores keep batch jobs: the next step from the present group, if one is due.
