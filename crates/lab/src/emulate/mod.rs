//! Emulated back ends as processes.
//!
//! An emulator prints `listening=ADDRESS` once it serves, so that whoever
//! starts it with port 0 learns the port.

mod engine;
mod serve;

use std::process::ExitCode;

use crate::arguments::ArgumentError;

const HELP: &str = "\
Usage: juniper-lab emulate KIND --listen ADDRESS [OPTIONS]

Kinds:
  engine       a model engine

Options of every kind:
  --listen ADDRESS   where to serve; port 0 picks a free one  [required]

Options of engine:
  --zone NAME        zone it stands in  [default: local]
  --model NAME       model served  [default: base]
  --weights N        version of the weights  [default: 1]

Prints 'listening=ADDRESS' on standard output once it serves.
";

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are faulty or the run itself fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    use lexopt::Arg;
    let kind = match parser.next().map_err(ArgumentError::from)? {
        Some(Arg::Value(kind)) => kind.to_string_lossy().into_owned(),
        Some(Arg::Long("help") | Arg::Short('h')) => {
            print!("{HELP}");
            return Ok(ExitCode::SUCCESS);
        }
        _ => return Err(ArgumentError::Missing("KIND").into()),
    };
    match kind.as_str() {
        "engine" => engine::run(parser),
        _ => Err(ArgumentError::Value { option: "KIND", value: kind, allowed: "a kind" }.into()),
    }
}
