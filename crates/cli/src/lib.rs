//! The juniperhollow command line: daemons and operator commands.

use std::process::ExitCode;

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
