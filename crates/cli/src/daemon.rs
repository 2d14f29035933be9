//! Commands `control`, `router`, `found` and `key hash`.

use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use juniper_control::ControlError;
use juniper_router::{RouterConfig, RouterError};
use juniper_settings::ApiKeyHash;
use juniper_settings::node_file::{
    CommonSettings, ControlSettings, LogLevel, NodeFile, NodeFileError, NodeOverride,
};
use juniper_signals::shutdown_signal;
use lexopt::{Arg, ValueExt};
use log::LevelFilter;
use serde_json::json;
use tokio::runtime::Runtime;

use crate::EXIT_FAULTS;
use crate::arguments::ArgumentError;
use crate::logging::{LogSettings, start};
use crate::output::Format;

/// Failure to start or run a daemon.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DaemonError {
    /// Node file without a section for this daemon.
    #[error("{path} has no [{section}] section")]
    NoSection {
        /// Path of the node file.
        path: PathBuf,
        /// Name of the section.
        section: &'static str,
    },
    /// Invalid cluster key.
    #[error(transparent)]
    ClusterKey(#[from] juniper_protocol::ClusterKeyError),
    /// The async runtime can't be started.
    #[error("can't start the runtime: {0}")]
    Runtime(std::io::Error),
    /// Failure of the control replica.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// Failure of the router.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// Unreadable standard input.
    #[error("can't read standard input: {0}")]
    StandardInput(std::io::Error),
}

struct DaemonArguments {
    path: PathBuf,
    overrides: Vec<NodeOverride>,
    format: Format,
}

/// Reads `--settings FILE` or a positional FILE, `--set KEY=VALUE` and `--format`.
fn read_arguments(parser: &mut lexopt::Parser) -> Result<DaemonArguments, ArgumentError> {
    let mut path = None;
    let mut overrides = Vec::new();
    let mut format = Format::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("settings") => path = Some(PathBuf::from(parser.value()?)),
            Arg::Long("set") => overrides.push(read_override(parser.value()?.string()?)?),
            Arg::Long("format") => format = Format::parse(&parser.value()?.string()?)?,
            Arg::Value(word) if path.is_none() => path = Some(PathBuf::from(word)),
            other => return Err(other.unexpected().into()),
        }
    }
    let path = path.ok_or(ArgumentError::Missing("--settings FILE"))?;
    Ok(DaemonArguments { path, overrides, format })
}

pub(crate) fn read_override(text: String) -> Result<NodeOverride, ArgumentError> {
    match text.split_once('=') {
        Some((key, value)) => Ok(NodeOverride { key: key.to_owned(), value: value.to_owned() }),
        None => Err(ArgumentError::Value {
            name: "--set",
            value: text,
            allowed: "of the form KEY=VALUE",
        }),
    }
}

fn start_logging(common: &CommonSettings) -> Result<(), crate::logging::LoggingError> {
    let level = match common.log_level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    };
    let settings = LogSettings { level, file: common.log_file.clone() };
    start(&settings, common.node.to_string())
}

fn build_runtime() -> Result<Runtime, DaemonError> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(DaemonError::Runtime)
}

/// Runs `control --settings FILE`.
pub fn control(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let arguments = read_arguments(parser)?;
    let file = NodeFile::load(&arguments.path, &arguments.overrides)?;
    let no_section = DaemonError::NoSection { path: arguments.path, section: "control" };
    let settings: ControlSettings = file.control.ok_or(no_section)?;
    start_logging(&settings.common)?;
    build_runtime()?
        .block_on(juniper_control::run(settings, shutdown_signal()))
        .map_err(DaemonError::from)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs `found --settings FILE`.
pub fn found(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let arguments = read_arguments(parser)?;
    let file = NodeFile::load(&arguments.path, &arguments.overrides)?;
    let no_section = DaemonError::NoSection { path: arguments.path, section: "control" };
    let settings: ControlSettings = file.control.ok_or(no_section)?;
    let replica = juniper_control::found_cluster(&settings).map_err(DaemonError::from)?;
    match arguments.format {
        Format::Text => println!("founded a cluster on {replica}"),
        Format::Json => println!("{}", json!({ "founded_on": replica.to_string() })),
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs `router --settings FILE`.
pub fn router(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let arguments = read_arguments(parser)?;
    let file = NodeFile::load(&arguments.path, &arguments.overrides)?;
    let no_section = DaemonError::NoSection { path: arguments.path, section: "router" };
    let settings = file.router.ok_or(no_section)?;
    start_logging(&settings.common)?;
    let config = RouterConfig::from_settings(settings).map_err(DaemonError::from)?;
    build_runtime()?
        .block_on(juniper_router::run(config, shutdown_signal()))
        .map_err(DaemonError::from)?;
    Ok(ExitCode::SUCCESS)
}

/// Prints all faults of a node file and returns the exit code for them.
pub(crate) fn print_node_file_faults(error: NodeFileError, format: Format) -> ExitCode {
    match format {
        Format::Json => println!("{}", json!({ "ok": false, "faults": error.to_string() })),
        Format::Text => eprintln!("{:?}", miette::Report::new(error)),
    }
    ExitCode::from(EXIT_FAULTS)
}

/// Runs `key hash`.
pub fn hash_key(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    match crate::arguments::next_positional(parser)?.as_deref() {
        Some("hash") => {}
        _ => return Err(ArgumentError::Missing("key hash").into()),
    }
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).map_err(DaemonError::StandardInput)?;
    println!("{}", ApiKeyHash::of(key.trim()).0);
    Ok(ExitCode::SUCCESS)
}
