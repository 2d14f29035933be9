//! The daemons: `control`, `router`, and checks of their files.

use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use juniper_control::ControlError;
use juniper_router::{RouterConfig, RouterError};
use juniper_settings::ApiKeyHash;
use juniper_settings::node_file::{
    CommonSettings, ControlSettings, LogLevel, NodeFile, NodeFileError, NodeOverride,
};
use juniper_signals::stopped;
use lexopt::{Arg, ValueExt};
use log::LevelFilter;
use serde_json::json;
use tokio::runtime::Runtime;

use crate::EXIT_FAULTS;
use crate::arguments::ArgumentError;
use crate::logging::{LogSettings, start};
use crate::output::Format;

/// Why a daemon could not start or had to stop.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DaemonError {
    /// The node file has no section for this daemon.
    #[error("{path} has no [{section}] section")]
    NoSection {
        /// The file.
        path: PathBuf,
        /// The section.
        section: &'static str,
    },
    /// The cluster key is unusable.
    #[error(transparent)]
    ClusterKey(#[from] juniper_protocol::ClusterKeyError),
    /// The runtime or its signal handlers could not be started.
    #[error("can't start the runtime: {0}")]
    Runtime(std::io::Error),
    /// The control daemon failed.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The router failed.
    #[error(transparent)]
    Router(#[from] RouterError),
    /// Standard input can't be read.
    #[error("can't read standard input: {0}")]
    StandardInput(std::io::Error),
}

struct DaemonArguments {
    path: PathBuf,
    overrides: Vec<NodeOverride>,
    format: Format,
}

/// Reads `--settings FILE` or a plain FILE, and `--set KEY=VALUE` flags.
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

fn runtime() -> Result<Runtime, DaemonError> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(DaemonError::Runtime)
}

/// `control --settings FILE`.
pub fn control(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let arguments = read_arguments(parser)?;
    let file = NodeFile::load(&arguments.path, &arguments.overrides)?;
    let no_section = DaemonError::NoSection { path: arguments.path, section: "control" };
    let settings: ControlSettings = file.control.ok_or(no_section)?;
    start_logging(&settings.common)?;
    runtime()?.block_on(juniper_control::run(settings, stopped())).map_err(DaemonError::from)?;
    Ok(ExitCode::SUCCESS)
}

/// `found --settings FILE`.
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

/// `router --settings FILE`.
pub fn router(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let arguments = read_arguments(parser)?;
    let file = NodeFile::load(&arguments.path, &arguments.overrides)?;
    let no_section = DaemonError::NoSection { path: arguments.path, section: "router" };
    let settings = file.router.ok_or(no_section)?;
    start_logging(&settings.common)?;
    let config = RouterConfig::from_settings(settings).map_err(DaemonError::from)?;
    runtime()?.block_on(juniper_router::run(config, stopped())).map_err(DaemonError::from)?;
    Ok(ExitCode::SUCCESS)
}

/// Prints every fault of a node file.
pub(crate) fn print_faults(error: NodeFileError, format: Format) -> ExitCode {
    match format {
        Format::Json => println!("{}", json!({ "ok": false, "faults": error.to_string() })),
        Format::Text => eprintln!("{:?}", miette::Report::new(error)),
    }
    ExitCode::from(EXIT_FAULTS)
}

/// `key hash`.
pub fn hash_key(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    match crate::arguments::next_word(parser)?.as_deref() {
        Some("hash") => {}
        _ => return Err(ArgumentError::Missing("key hash").into()),
    }
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).map_err(DaemonError::StandardInput)?;
    println!("{}", ApiKeyHash::of(key.trim()).0);
    Ok(ExitCode::SUCCESS)
}
