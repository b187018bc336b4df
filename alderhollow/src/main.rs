//! The serving tier's program.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    alderhollow::cli::main()
}
