//! Troubles that must be over within a given time.
