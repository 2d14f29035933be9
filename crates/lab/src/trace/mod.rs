//! `juniper-lab trace`: generates and checks trace files.

mod fleet;
mod summary;

use std::fs::File;
use std::io::{self, BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use juniper_emulators::trace::{
    Profile, Trace, TraceError, TraceOptions, generate, read_trace, write_trace,
};
use lexopt::Arg;

pub use self::fleet::fleet_trace;
pub use self::summary::Summary;
use crate::arguments::{ArgumentError, parsed};
pub use juniper_emulators::trace::{
    Profile as TraceProfile, Trace as RequestTrace, TraceRecord, TraceRequest,
};

const HELP: &str = "\
Usage: juniper-lab trace generate [OPTIONS]
       juniper-lab trace check FILE

Options of generate:
  --profile NAME     granite-ledger or pryderi  [default: granite-ledger]
  --seed N           the same seed gives the same trace  [default: 1]
  --load SHARE       share of what the fleet can serve  [default: 0.7]
  --seconds N        time in which requests arrive  [default: 60]
  --output FILE      output file  [default: standard output]

'check' reads a trace, checks every line and prints a summary as JSON.
";

/// Failure to read, write or summarise a trace.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum TraceFileError {
    /// The file can't be opened or created.
    #[error("{path} can't be opened")]
    Open {
        /// Path of the file.
        path: PathBuf,
        /// Cause reported by the operating system.
        #[source]
        source: io::Error,
    },
    /// The file is malformed, or can't be read or written.
    #[error("{path}: {source}")]
    Trace {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        #[source]
        source: TraceError,
    },
    /// The summary can't be serialized.
    #[error("the summary can't be written")]
    Summary(#[from] serde_json::Error),
}

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are invalid or the command fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    match parser.next().map_err(ArgumentError::from)? {
        Some(Arg::Value(action)) if action == "generate" => run_generate(parser),
        Some(Arg::Value(action)) if action == "check" => run_check(parser),
        Some(Arg::Long("help") | Arg::Short('h')) => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        Some(other) => Err(ArgumentError::from(other.unexpected()).into()),
        None => Err(ArgumentError::Missing("generate or check").into()),
    }
}

fn run_generate(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let mut options =
        TraceOptions { profile: Profile::GraniteLedger, seed: 1, load: 0.7, duration_ms: 60_000 };
    let mut output: Option<PathBuf> = None;
    while let Some(argument) = parser.next().map_err(ArgumentError::from)? {
        match argument {
            Arg::Long("profile") => {
                options.profile = parsed(parser, "--profile", "granite-ledger or pryderi")?;
            }
            Arg::Long("seed") => options.seed = parsed(parser, "--seed", "a number")?,
            Arg::Long("load") => options.load = parse_load(parser)?,
            Arg::Long("seconds") => {
                let seconds: u32 = parsed(parser, "--seconds", "a number")?;
                options.duration_ms = u64::from(seconds) * 1_000;
            }
            Arg::Long("output") => {
                output = Some(parser.value().map_err(ArgumentError::from)?.into());
            }
            other => return Err(ArgumentError::from(other.unexpected()).into()),
        }
    }
    let trace = generate(options).map_err(ArgumentError::from)?;
    match output {
        Some(path) => write_file(&trace, &path)?,
        None => {
            let path = PathBuf::from("standard output");
            write_trace(&trace, BufWriter::new(io::stdout().lock()))
                .map_err(|source| TraceFileError::Trace { path, source })?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Parses the value of `--load`, a positive share.
///
/// # Errors
/// Fails when the value isn't a positive number.
pub fn parse_load(parser: &mut lexopt::Parser) -> Result<f64, ArgumentError> {
    let load: f64 = parsed(parser, "--load", "a share above 0")?;
    if load.is_finite() && load > 0.0 {
        return Ok(load);
    }
    let allowed = "a share above 0";
    Err(ArgumentError::Value { option: "--load", value: load.to_string(), allowed })
}

fn write_file(trace: &Trace, path: &Path) -> Result<(), TraceFileError> {
    let file = File::create(path)
        .map_err(|source| TraceFileError::Open { path: path.to_owned(), source })?;
    write_trace(trace, BufWriter::new(file))
        .map_err(|source| TraceFileError::Trace { path: path.to_owned(), source })
}

/// Reads and checks the trace in `path`.
///
/// # Errors
/// Fails when the file can't be opened or is malformed.
pub fn read_file(path: &Path) -> Result<Trace, TraceFileError> {
    let file = File::open(path)
        .map_err(|source| TraceFileError::Open { path: path.to_owned(), source })?;
    read_trace(BufReader::new(file))
        .map_err(|source| TraceFileError::Trace { path: path.to_owned(), source })
}

fn run_check(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let path = PathBuf::from(parser.value().map_err(|_| ArgumentError::Missing("FILE"))?);
    if let Some(argument) = parser.next().map_err(ArgumentError::from)? {
        return Err(ArgumentError::from(argument.unexpected()).into());
    }
    let trace = read_file(&path)?;
    let summary = serde_json::to_string_pretty(&Summary::of(&trace));
    println!("{}", summary.map_err(TraceFileError::from)?);
    Ok(ExitCode::SUCCESS)
}
