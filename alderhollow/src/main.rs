//! The serving tier's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    alderhollow::cli::main()
}
