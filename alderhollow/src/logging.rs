//! Logs of a process: one line an entry, on standard error, with the time since the start.

use fern::Dispatch;
use log::{LevelFilter, SetLoggerError};
use std::time::Instant;

/// Level where neither the command line nor the settings name one.
pub const DEFAULT_LEVEL: LevelFilter = LevelFilter::Info;

/// Sets up the process's logs. Entries below the level cost a comparison.
///
/// # Errors
/// The process has a logger already.
pub fn start(level: LevelFilter) -> Result<(), SetLoggerError> {
    let started = Instant::now();
    Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let seconds = started.elapsed().as_secs_f64();
            let line = one_line(&message.to_string());
            out.finish(format_args!(
                "{seconds:.3} {} {}: {line}",
                record.level(),
                record.target()
            ));
        })
        .chain(std::io::stderr())
        .apply()
}

/// A message without line breaks.
fn one_line(message: &str) -> String {
    message.replace(['\n', '\r'], " | ")
}
