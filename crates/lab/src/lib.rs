//! Experiments, fault campaigns, load generation, scale runs and the demo fleet.
//!
//! The lab is not deployed. Unlike the daemons, the lab starts other processes.

pub mod arguments;
pub mod demo;
pub mod emulate;
pub mod experiment;
pub mod fleet;
pub mod fleet_run;
pub mod load;
pub mod prove;
pub mod proxy;
pub mod replay;
pub mod scale;
pub mod soak;
pub mod trace;

use std::process::ExitCode;

const HELP: &str = "\
Usage: juniper-lab COMMAND [OPTIONS]

Commands:
  demo        start a small fleet of processes, load it, break it, report
  emulate     run one emulated back end (engine, application, preview, store, platform)
  experiment  compare routing policies on one trace in virtual time
  load        send a trace to a running fleet
  prove       run fault campaigns in the simulator and check their histories
  replay      replay a recorded trace against a policy or a fleet
  scale       run hollow nodes beside real replicas and measure them
  soak        a fleet of processes under load and random faults
  trace       generate, show or check a trace file

'juniper-lab COMMAND --help' lists the options of a command.
Exit codes: 0 success, 1 failure or violation, 2 usage.
";

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    match dispatch(&mut parser) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            match report.downcast_ref::<arguments::ArgumentError>() {
                Some(_) => ExitCode::from(2),
                None => ExitCode::FAILURE,
            }
        }
    }
}

fn dispatch(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    use lexopt::Arg;
    let command = match parser.next().map_err(arguments::ArgumentError::from)? {
        Some(Arg::Value(name)) => name.to_string_lossy().into_owned(),
        Some(Arg::Long("help") | Arg::Short('h')) => {
            print!("{HELP}");
            return Ok(ExitCode::SUCCESS);
        }
        _ => {
            eprint!("{HELP}");
            return Ok(ExitCode::from(2));
        }
    };
    match command.as_str() {
        "demo" => demo::run(parser),
        "emulate" => emulate::run(parser),
        "experiment" => experiment::run(parser),
        "load" => load::run(parser),
        "prove" => prove::run(parser),
        "replay" => replay::run(parser),
        "scale" => scale::run(parser),
        "soak" => soak::run(parser),
        "trace" => trace::run(parser),
        other => Err(arguments::ArgumentError::UnknownCommand(other.to_owned()).into()),
    }
}
