//! A small fleet of processes under load and faults.

use std::process::ExitCode;

use crate::arguments::ArgumentError;

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are faulty or the run itself fails.
pub fn run(_parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    Err(ArgumentError::Unavailable("demo").into())
}
