//! `juniper-lab load`: open-loop load against a running fleet, every answer checked.

pub mod applications;
pub mod arguments;
pub mod chat;
pub mod client;
pub mod executions;
pub mod outcome;
pub mod preview;
pub mod report;
pub mod retry;
pub mod runner;
pub mod stream;

use std::path::PathBuf;
use std::process::ExitCode;

use juniper_emulators::trace::{Profile, Trace, TraceOptions, generate};
use lexopt::Arg;

pub use self::client::{RetryPolicy, RouterTarget};
pub use self::executions::ExecutionSource;
pub use self::report::LoadReport;
pub use self::runner::{LoadError, LoadOptions, run_load};

use self::arguments::{SHARED_HELP, complete, default_options, read_shared};
use crate::arguments::{ArgumentError, parsed};
use crate::trace::{parse_load, read_file};

const HELP: &str = "\
Usage: juniper-lab load --router [ZONE=]ADDRESS [OPTIONS]

Sends a trace to a running fleet and checks every answer. Prints a report as
JSON; exits with 1 if a guarantee was violated.

Options:
  --trace FILE             trace to send  [default: one is generated]
  --profile NAME           granite-ledger or pryderi  [default: granite-ledger]
  --seed N                 seed of the generated trace  [default: 1]
  --load SHARE             share of what the whole fleet can serve  [default: 0.5]
  --seconds N              time in which requests arrive  [default: 20]
";

/// Failure to run the load or write the report.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ReportError {
    /// The runtime can't be started.
    #[error("the runtime can't be started")]
    Runtime(#[source] std::io::Error),
    /// The report can't be written.
    #[error("the report can't be written")]
    Json(#[from] serde_json::Error),
}

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are invalid or the run fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let mut options = default_options();
    let mut file: Option<PathBuf> = None;
    let mut trace =
        TraceOptions { profile: Profile::GraniteLedger, seed: 1, load: 0.5, duration_ms: 20_000 };
    while let Some(argument) = parser.next().map_err(ArgumentError::from)? {
        let name = match &argument {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{HELP}{SHARED_HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Arg::Long(name) => (*name).to_owned(),
            _ => return Err(ArgumentError::from(argument.unexpected()).into()),
        };
        match name.as_str() {
            "trace" => file = Some(parser.value().map_err(ArgumentError::from)?.into()),
            "profile" => {
                trace.profile = parsed(parser, "--profile", "granite-ledger or pryderi")?;
            }
            "seed" => trace.seed = parsed(parser, "--seed", "a number")?,
            "load" => trace.load = parse_load(parser)?,
            "seconds" => {
                let seconds: u32 = parsed(parser, "--seconds", "a number")?;
                trace.duration_ms = u64::from(seconds) * 1_000;
            }
            _ if read_shared(parser, &name, &mut options)? => {}
            _ => return Err(ArgumentError::UnknownOption(name).into()),
        }
    }
    let options = complete(options)?;
    let trace = match file {
        Some(path) => read_file(&path)?,
        None => generate(trace).map_err(ArgumentError::from)?,
    };
    run_and_print(&trace, options)
}

/// Sends `trace`, prints the report and returns whether no guarantee was violated.
///
/// # Errors
/// Fails when the run can't be carried out.
pub fn run_and_print(trace: &Trace, options: LoadOptions) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().map_err(ReportError::Runtime)?;
    let report = runtime.block_on(run_load(trace, options))?;
    println!("{}", serde_json::to_string_pretty(&report).map_err(ReportError::from)?);
    Ok(if report.violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
