//! Fault campaigns in the simulator.

pub mod areas;
mod asker;
pub mod campaign;
pub mod claims;
pub mod configuration;
pub mod decisions;
mod history;
pub mod orders;

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

/// Failed seeds that are shown in full.
const MAX_SHOWN: usize = 10;

/// Why a campaign's trace can't be kept.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("the trace can't be written to {file}")]
pub struct TraceError {
    /// The file.
    file: String,
    /// What the system said.
    #[source]
    source: io::Error,
}

/// What the command line asks for.
struct Options {
    area: Option<String>,
    campaign: Campaign,
    planted: Option<String>,
    single: Option<u64>,
    threads: usize,
    trace_folder: PathBuf,
}

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are faulty or the run itself fails.
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
    match options.single {
        Some(seed) => run_one(area, seed, &options),
        None => run_many(area, &options),
    }
}

/// Reads the arguments; `None` if they asked for a text that is printed already.
fn parse(parser: &mut lexopt::Parser) -> Result<Option<Options>, ArgumentError> {
    let campaign =
        Campaign { first_seed: 1, seeds: DEFAULT_SEEDS, planted: None, stop_at_first: false };
    let mut options = Options {
        area: None,
        campaign,
        planted: None,
        single: None,
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
            Arg::Long("seed") => options.single = Some(parsed(parser, "--seed", "a number")?),
            Arg::Long("planted") => options.planted = Some(parsed(parser, "--planted", "a name")?),
            Arg::Long("threads") => {
                let threads: usize = parsed(parser, "--threads", "a number")?;
                options.threads = threads.clamp(1, MAX_THREADS);
            }
            Arg::Long("trace-folder") => {
                options.trace_folder = parsed(parser, "--trace-folder", "a folder")?;
            }
            Arg::Long("list") => {
                list();
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

fn list() {
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
    Ok(verdict(violations.is_empty()))
}

fn run_many(area: &Area, options: &Options) -> miette::Result<ExitCode> {
    let summary = campaign::run(area, options.campaign, options.threads);
    show(&summary);
    if let Some(first) = summary.failed.first() {
        write_trace(area, first.seed, options)?;
    }
    println!("runs={} violations={}", summary.runs, summary.failed.len());
    Ok(verdict(summary.failed.is_empty()))
}

fn show(summary: &Summary) {
    for failed in summary.failed.iter().take(MAX_SHOWN) {
        for violation in &failed.violations {
            println!("seed={} violation=\"{violation}\"", failed.seed);
        }
    }
    let hidden = summary.failed.len().saturating_sub(MAX_SHOWN);
    if hidden > 0 {
        println!("{hidden} more seeds with violations are not shown");
    }
}

fn verdict(is_clean: bool) -> ExitCode {
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs a seed with a trace, writes it to a file and returns what was wrong.
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
