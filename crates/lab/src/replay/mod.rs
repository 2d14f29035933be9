//! `juniper-lab replay`: sends a recorded trace to a running fleet.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg;

use crate::arguments::ArgumentError;
use crate::load::arguments::{SHARED_HELP, complete, default_options, read_shared};
use crate::load::run_and_print;
use crate::trace::read_file;

const HELP: &str = "\
Usage: juniper-lab replay TRACE --router [ZONE=]ADDRESS [OPTIONS]

Sends a recorded trace to a running fleet and checks every answer, as 'load' does.

Options:
";

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are invalid or the run fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let mut options = default_options();
    let mut file: Option<PathBuf> = None;
    while let Some(argument) = parser.next().map_err(ArgumentError::from)? {
        let name = match argument {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{HELP}{SHARED_HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Arg::Value(path) if file.is_none() => {
                file = Some(path.into());
                continue;
            }
            Arg::Long(name) => name.to_owned(),
            other => return Err(ArgumentError::from(other.unexpected()).into()),
        };
        if !read_shared(parser, &name, &mut options)? {
            return Err(ArgumentError::UnknownOption(name).into());
        }
    }
    let path = file.ok_or(ArgumentError::Missing("TRACE"))?;
    run_and_print(&read_file(&path)?, complete(options)?)
}
