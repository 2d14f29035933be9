//! Command `prove`: runs fault-injection campaigns in the simulator.

pub mod areas;
pub mod campaign;
pub mod claims;
pub mod configuration;
pub mod decisions;
mod history;
pub mod orders;
mod retrying_client;

use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg;

use crate::arguments::{ArgumentError, parsed};
use areas::{AREAS, Area, SeedRun};
use campaign::{Campaign, MAX_THREADS, Summary};

const HELP: &str = "\
Usage: juniper-lab prove --area AREA [OPTIONS]
       juniper-lab prove --list

Options:
  --area AREA         what to prove; --list shows the areas  [required]
  --seeds N           number of seeds to run  [default: 100]
  --first-seed N      first seed  [default: 1]
  --seed N            run this one seed and write its trace
  --planted NAME      run with a planted fault, until it is found
  --threads N         threads, at most 6  [default: 4]
  --trace-folder DIR  where traces are written  [default: .]
  --list              show areas, faults and planted faults

Prints 'runs=N violations=V'. On a violation it names the seed, writes the
seed's trace to a file and exits with 1; --seed N writes the same trace again.
";

const DEFAULT_SEEDS: u64 = 100;
const DEFAULT_THREADS: usize = 4;

/// Maximum number of failed seeds whose violations are printed.
const MAX_SHOWN: usize = 10;

/// Failure to write a trace file.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("failed to write the trace to {file}")]
pub struct TraceError {
    /// Path of the trace file.
    file: String,
    /// Underlying I/O error.
    #[source]
    source: io::Error,
}

/// Options of the command line.
struct Options {
    area: Option<String>,
    campaign: Campaign,
    planted: Option<String>,
    single_seed: Option<u64>,
    threads: usize,
    trace_folder: PathBuf,
}

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails if the arguments are invalid or a trace can't be written.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let Some(mut options) = parse(parser)? else { return Ok(ExitCode::SUCCESS) };
    let name = options.area.take().ok_or(ArgumentError::Missing("--area"))?;
    let unknown = |option, value: &str| {
        let value = value.to_owned();
        ArgumentError::Value { option, value, allowed: "known; --list shows the names" }
    };
    let area = areas::find(&name).ok_or_else(|| unknown("--area", &name))?;
    if let Some(planted) = &options.planted {
        let found = area.planted(planted).ok_or_else(|| unknown("--planted", planted))?;
        options.campaign.planted = Some(found);
        options.campaign.stop_at_first = true;
    }
    match options.single_seed {
        Some(seed) => run_one(area, seed, &options),
        None => run_many(area, &options),
    }
}

/// Parses the arguments; `None` if the requested help or list has been printed.
fn parse(parser: &mut lexopt::Parser) -> Result<Option<Options>, ArgumentError> {
    let campaign =
        Campaign { first_seed: 1, seeds: DEFAULT_SEEDS, planted: None, stop_at_first: false };
    let mut options = Options {
        area: None,
        campaign,
        planted: None,
        single_seed: None,
        threads: DEFAULT_THREADS,
        trace_folder: PathBuf::from("."),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("area") => options.area = Some(parsed(parser, "--area", "a name")?),
            Arg::Long("seeds") => options.campaign.seeds = parsed(parser, "--seeds", "a number")?,
            Arg::Long("first-seed") => {
                options.campaign.first_seed = parsed(parser, "--first-seed", "a number")?;
            }
            Arg::Long("seed") => options.single_seed = Some(parsed(parser, "--seed", "a number")?),
            Arg::Long("planted") => options.planted = Some(parsed(parser, "--planted", "a name")?),
            Arg::Long("threads") => {
                let threads: usize = parsed(parser, "--threads", "a number")?;
                options.threads = threads.clamp(1, MAX_THREADS);
            }
            Arg::Long("trace-folder") => {
                options.trace_folder = parsed(parser, "--trace-folder", "a folder")?;
            }
            Arg::Long("list") => {
                print_areas();
                return Ok(None);
            }
            Arg::Long("help") | Arg::Short('h') => {
                print!("{HELP}");
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

fn print_areas() {
    for area in AREAS {
        println!("{}: {}", area.name, area.summary);
        println!("  faults:");
        area.faults.iter().for_each(|fault| println!("    {fault}"));
        println!("  planted faults:");
        area.planted.iter().for_each(|planted| println!("    {planted}"));
    }
}

fn run_one(area: &Area, seed: u64, options: &Options) -> miette::Result<ExitCode> {
    let violations = write_trace(area, seed, options)?;
    println!("runs=1 violations={}", violations.len());
    Ok(exit_code(violations.is_empty()))
}

fn run_many(area: &Area, options: &Options) -> miette::Result<ExitCode> {
    let summary = campaign::run(area, options.campaign, options.threads);
    print_violations(&summary);
    if let Some(first) = summary.failed.first() {
        write_trace(area, first.seed, options)?;
    }
    println!("runs={} violations={}", summary.runs, summary.failed.len());
    Ok(exit_code(summary.failed.is_empty()))
}

fn print_violations(summary: &Summary) {
    for failed in summary.failed.iter().take(MAX_SHOWN) {
        for violation in &failed.violations {
            println!("seed={} violation=\"{violation}\"", failed.seed);
        }
    }
    let omitted = summary.failed.len().saturating_sub(MAX_SHOWN);
    if omitted > 0 {
        println!("{omitted} more seeds with violations are not shown");
    }
}

fn exit_code(is_clean: bool) -> ExitCode {
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs a seed with a trace, writes the trace to a file and returns the violations.
fn write_trace(area: &Area, seed: u64, options: &Options) -> Result<Vec<String>, TraceError> {
    let planted = options.campaign.planted;
    let outcome = (area.run)(SeedRun { seed, planted, traced: true });
    let file = options.trace_folder.join(format!("{}-{seed}.trace", area.name));
    let mut text = outcome.trace.join("\n");
    text.push('\n');
    let fault = |source| TraceError { file: file.display().to_string(), source };
    fs::write(&file, text).map_err(fault)?;
    for violation in &outcome.violations {
        println!("seed={seed} violation=\"{violation}\"");
    }
    println!("seed={seed} trace={}", file.display());
    Ok(outcome.violations)
}
