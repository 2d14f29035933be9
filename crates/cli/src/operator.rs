//! Operator commands: calls to the control replicas' operator API.

use std::path::PathBuf;
use std::process::ExitCode;

use juniper_settings::SettingsPath;
use lexopt::{Arg, ValueExt};
use reqwest::Method;
use serde_json::{Value, json};

use crate::arguments::{ArgumentError, number};
use crate::client::OperatorClient;
use crate::output::{Format, print};

/// Failure of an operator command before its request is sent.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum OperatorError {
    /// Unreadable change file.
    #[error("change file {path}: {source}")]
    ChangeFile {
        /// Path of the change file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// Change file that is not JSON.
    #[error("change file {path}: {source}")]
    ChangeJson {
        /// Path of the change file.
        path: PathBuf,
        /// Cause, with its position.
        source: serde_json::Error,
    },
    /// The async runtime can't be started.
    #[error("can't start the runtime: {0}")]
    Runtime(std::io::Error),
}

/// Options and positional arguments of an operator command.
#[derive(Default)]
struct OperatorArguments {
    replicas: Vec<String>,
    key_file: Option<PathBuf>,
    format: Format,
    undo: bool,
    words: Vec<String>,
}

fn read_arguments(parser: &mut lexopt::Parser) -> Result<OperatorArguments, ArgumentError> {
    let mut arguments = OperatorArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("control") => arguments.replicas.push(parser.value()?.string()?),
            Arg::Long("operator-key-file") => arguments.key_file = Some(parser.value()?.into()),
            Arg::Long("format") => arguments.format = Format::parse(&parser.value()?.string()?)?,
            Arg::Long("undo") => arguments.undo = true,
            Arg::Value(word) => arguments.words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

impl OperatorArguments {
    fn positional(&self, index: usize, name: &'static str) -> Result<&str, ArgumentError> {
        self.words.get(index).map(String::as_str).ok_or(ArgumentError::Missing(name))
    }

    fn settings_path(&self, index: usize) -> Result<SettingsPath, ArgumentError> {
        let text = self.positional(index, "PATH")?;
        text.parse().map_err(|_| ArgumentError::Value {
            name: "PATH",
            value: text.to_owned(),
            allowed: "a settings path such as /zone/tenant/service",
        })
    }

    /// Sends one request and prints the response.
    fn call(&self, method: Method, path: &str, body: Option<&Value>) -> miette::Result<ExitCode> {
        let key_file =
            self.key_file.as_deref().ok_or(ArgumentError::Missing("--operator-key-file"))?;
        let client = OperatorClient::new(self.replicas.clone(), key_file)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(OperatorError::Runtime)?;
        let response = runtime.block_on(client.call(method, path, body))?;
        print(&response, self.format);
        Ok(ExitCode::SUCCESS)
    }

    fn get(&self, path: &str) -> miette::Result<ExitCode> {
        self.call(Method::GET, path, None)
    }
}

/// Runs `tree get|effective|apply|diff|history|rollback`.
pub fn tree(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let arguments = read_arguments(parser)?;
    match arguments.positional(0, "a tree command")? {
        "get" if arguments.words.len() < 2 => arguments.get("/v1/settings"),
        "get" => arguments.get(&format!("/v1/settings/node?path={}", arguments.settings_path(1)?)),
        "effective" => {
            arguments.get(&format!("/v1/settings/effective?path={}", arguments.settings_path(1)?))
        }
        "history" => arguments.get("/v1/settings/history"),
        "diff" => {
            let from = number("FROM", arguments.positional(1, "FROM")?)?;
            let to = number("TO", arguments.positional(2, "TO")?)?;
            arguments.get(&format!("/v1/settings/diff?from={from}&to={to}"))
        }
        "rollback" => {
            let to = number("REVISION", arguments.positional(1, "REVISION")?)?;
            let body = json!({ "to": to, "change_id": new_change_id("rollback") });
            arguments.call(Method::POST, "/v1/settings/rollbacks", Some(&body))
        }
        "apply" => {
            let body = read_change(arguments.positional(1, "FILE")?)?;
            arguments.call(Method::POST, "/v1/settings/changes", Some(&body))
        }
        other => Err(ArgumentError::unknown_command(&format!("tree {other}")).into()),
    }
}

fn read_change(path: &str) -> Result<Value, OperatorError> {
    let path = PathBuf::from(path);
    let text = std::fs::read_to_string(&path)
        .map_err(|source| OperatorError::ChangeFile { path: path.clone(), source })?;
    serde_json::from_str(&text).map_err(|source| OperatorError::ChangeJson { path, source })
}

fn new_change_id(kind: &str) -> String {
    let suffix: u64 = rand::random();
    format!("{kind}-{suffix:016x}")
}

/// Runs `nodes`.
pub fn nodes(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    read_arguments(parser)?.get("/v1/nodes")
}

/// Runs `status`.
pub fn status(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    read_arguments(parser)?.get("/v1/status")
}

/// Runs `quarantine list|release FINGERPRINT`.
pub fn quarantine(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let arguments = read_arguments(parser)?;
    match arguments.positional(0, "a quarantine command")? {
        "list" => arguments.get("/v1/quarantine"),
        "release" => {
            let fingerprint = arguments.positional(1, "FINGERPRINT")?;
            arguments.call(Method::DELETE, &format!("/v1/quarantine/{fingerprint}"), None)
        }
        other => Err(ArgumentError::unknown_command(&format!("quarantine {other}")).into()),
    }
}

/// Runs `drain ENGINE [--undo]`.
pub fn drain(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let arguments = read_arguments(parser)?;
    let engine = number("ENGINE", arguments.positional(0, "ENGINE")?)?;
    let body = json!({ "leaving": !arguments.undo, "change_id": new_change_id("drain") });
    arguments.call(Method::POST, &format!("/v1/back-ends/{engine}/drain"), Some(&body))
}
