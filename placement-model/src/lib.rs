//! A small deterministic model of model engines and of the senders before them. It compares ways to choose a backend in
//! seconds, with the program's own choice: each sender by itself, one placer in each zone, or one that knows all at once.
//!
//! | part | does |
//! | --- | --- |
//! | [`settings`] | the configuration file |
//! | [`traffic`] | draws requests |
//! | [`engine`] | an engine: chunked reading, steps, slots, kept prefixes |
//! | [`policy`] | who chooses, with what knowledge and how late |
//! | [`simulation`] | plays one run |
//! | [`report`] | tables and plots |

pub mod engine;
pub mod policy;
pub mod report;
pub mod settings;
pub mod simulation;
pub mod traffic;
