//! `juniper-lab scale`: measures hollow nodes together with real control replicas and routers.
//!
//! A hollow node runs a router's whole control plane (settings subscription,
//! membership, shared engine knowledge) over real sockets, but serves no requests.
//! Each hollow process runs many of them. The command starts these processes and
//! the real daemons, measures the resource usage of each role, restarts a tenth
//! of the nodes and partitions a zone.

mod control;
mod fleet;
mod hollow;
mod host;
mod layout;
mod plot;
mod processes;
mod report;
mod sample;
mod synthetic;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::arguments::{ArgumentError, parsed};

const HELP: &str = "\
Usage: juniper-lab scale --nodes N [OPTIONS]

Options:
  --nodes N       nodes before the engines, real routers included (4 to 1000)
  --seconds S     length of the measured quiet period (default 15)
  --replicas R    control replicas: 1, 3 or 5 (default 3)
  --tenants T     tenants in the settings tree (default 500)
  --format F      text or json (default text)
  --plot FILE     draw earlier results, one JSON report per line on standard
                  input, as an SVG file, instead of running
";

/// Options of a run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) nodes: usize,
    pub(crate) seconds: Duration,
    pub(crate) replicas: usize,
    pub(crate) tenants: usize,
    pub(crate) json: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            nodes: 0,
            seconds: Duration::from_secs(15),
            replicas: 3,
            tenants: 500,
            json: false,
        }
    }
}

/// Action that the command line selects.
enum Task {
    Run(Options),
    Host(PathBuf),
    Plot(PathBuf),
    Help,
}

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are invalid or the run fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    match parse(parser)? {
        Task::Help => print!("{HELP}"),
        Task::Host(layout) => host::run(&layout)?,
        Task::Plot(file) => plot::draw(&file)?,
        Task::Run(options) => {
            let report = fleet::run(&options)?;
            match options.json {
                true => println!("{}", report.json()?),
                false => print!("{report}"),
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn parse(parser: &mut lexopt::Parser) -> Result<Task, ArgumentError> {
    use lexopt::Arg;
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("nodes") => options.nodes = parsed(parser, "--nodes", "a number")?,
            Arg::Long("seconds") => {
                options.seconds = Duration::from_secs(parsed(parser, "--seconds", "a number")?);
            }
            Arg::Long("replicas") => options.replicas = parsed(parser, "--replicas", "a number")?,
            Arg::Long("tenants") => options.tenants = parsed(parser, "--tenants", "a number")?,
            Arg::Long("format") => {
                let format: String = parsed(parser, "--format", "text or json")?;
                options.json = format == "json";
            }
            Arg::Long("plot") => return Ok(Task::Plot(parser.value()?.into())),
            // Internal option for starting hollow processes; omitted from the help.
            Arg::Long("host") => return Ok(Task::Host(parser.value()?.into())),
            Arg::Long("help") | Arg::Short('h') => return Ok(Task::Help),
            other => return Err(other.unexpected().into()),
        }
    }
    check(options).map(Task::Run)
}

fn check(options: Options) -> Result<Options, ArgumentError> {
    let fault = |option, value: usize, allowed| {
        Err(ArgumentError::Value { option, value: value.to_string(), allowed })
    };
    if !(4..=1_000).contains(&options.nodes) {
        return fault("--nodes", options.nodes, "a number from 4 to 1000");
    }
    if ![1, 3, 5].contains(&options.replicas) {
        return fault("--replicas", options.replicas, "1, 3 or 5");
    }
    Ok(options)
}
