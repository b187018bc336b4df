//! Decides the operators' calls at the core's primary, or points to it.
