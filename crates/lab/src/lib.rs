//! Experiments, fault campaigns, load, scale runs and the demo fleet.

use std::process::ExitCode;

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
