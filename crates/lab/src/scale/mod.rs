//! `juniper-lab scale`: hollow nodes beside real control replicas and routers.
//!
//! A hollow node runs a router's whole control plane (settings subscription,
//! membership, shared engine knowledge) over real sockets, without serving.
//! Many of them live in each hollow process, which the command starts beside
//! the real daemons. It then measures what each role spends, restarts a tenth
//! of the nodes and cuts a zone off.

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

/// What a run is asked for.
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

/// What the command line asks for.
enum Task {
    Run(Options),
    Host(PathBuf),
    Plot(PathBuf),
    Help,
}

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are faulty or the run itself fails.
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
            // Not in the help: how the command starts its own hollow processes.
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
