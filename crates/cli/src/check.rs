//! `settings check FILE`: validates a node file or a change of the settings tree.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use juniper_settings::{ChangeSet, NodeFile, SettingsTree, TreeFault, ValidatedTree};
use juniper_types::{ChangeId, Revision};
use lexopt::{Arg, ValueExt};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::EXIT_FAULTS;
use crate::arguments::{ArgumentError, next_positional};
use crate::daemon::{print_node_file_faults, read_override};
use crate::output::Format;

/// Error that prevents validation of a file.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CheckError {
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not valid JSON or doesn't match the expected schema.
    #[error("{path}: {source}")]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Cause, with its position.
        source: serde_json::Error,
    },
    /// The change needs a base tree and none was given.
    #[error("the change is based on revision {0}, and no tree was given")]
    #[diagnostic(help("pass the tree with --upon FILE, as `tree get --format json` prints it"))]
    MissingBaseTree(Revision),
    /// The given tree has another revision than the change's base.
    #[error("the change is based on revision {expected}, but the given tree has revision {actual}")]
    RevisionMismatch {
        /// Base revision of the change.
        expected: Revision,
        /// Revision of the given tree.
        actual: Revision,
    },
}

/// Change in the format of `tree apply`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeFile {
    base_revision: Revision,
    #[serde(rename = "change_id")]
    _change_id: ChangeId,
    #[serde(default, rename = "author")]
    _author: Option<String>,
    edits: ChangeSet,
}

/// Tree in the format of `tree get --format json`.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct TreeFile {
    revision: Revision,
    tree: SettingsTree,
}

#[derive(Default)]
struct CheckArguments {
    path: Option<PathBuf>,
    upon: Option<PathBuf>,
    overrides: Vec<juniper_settings::NodeOverride>,
    format: Format,
}

fn read_arguments(parser: &mut lexopt::Parser) -> Result<CheckArguments, ArgumentError> {
    let mut arguments = CheckArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("set") => arguments.overrides.push(read_override(parser.value()?.string()?)?),
            Arg::Long("upon") => arguments.upon = Some(parser.value()?.into()),
            Arg::Long("format") => arguments.format = Format::parse(&parser.value()?.string()?)?,
            Arg::Value(word) if arguments.path.is_none() => arguments.path = Some(word.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

/// Runs `settings check FILE`. A `.json` file is validated as a change of the tree, any other
/// as a node file.
pub fn settings(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    match next_positional(parser)?.as_deref() {
        Some("check") => {}
        Some(other) => {
            return Err(ArgumentError::unknown_command(&format!("settings {other}")).into());
        }
        None => return Err(ArgumentError::Missing("settings check FILE").into()),
    }
    let arguments = read_arguments(parser)?;
    let path = arguments.path.as_deref().ok_or(ArgumentError::Missing("FILE"))?;
    if path.extension().is_some_and(|extension| extension == "json") {
        return Ok(check_change(path, arguments.upon.as_deref(), arguments.format)?);
    }
    match NodeFile::load(path, &arguments.overrides) {
        Ok(_) => Ok(print_valid(path, arguments.format)),
        Err(error) => Ok(print_node_file_faults(error, arguments.format)),
    }
}

fn check_change(path: &Path, upon: Option<&Path>, format: Format) -> Result<ExitCode, CheckError> {
    let change: ChangeFile = read_json(path)?;
    let base: TreeFile = match upon {
        Some(upon) => read_json(upon)?,
        None if change.base_revision == Revision(0) => TreeFile::default(),
        None => return Err(CheckError::MissingBaseTree(change.base_revision)),
    };
    if base.revision != change.base_revision {
        let (expected, actual) = (change.base_revision, base.revision);
        return Err(CheckError::RevisionMismatch { expected, actual });
    }
    let result = ValidatedTree::new(base.tree).and_then(|mut tree| tree.apply(&change.edits));
    match result {
        Ok(_) => Ok(print_valid(path, format)),
        Err(faults) => Ok(print_tree_faults(path, &faults, format)),
    }
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, CheckError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CheckError::Unreadable { path: path.to_owned(), source })?;
    serde_json::from_str(&text)
        .map_err(|source| CheckError::Malformed { path: path.to_owned(), source })
}

fn print_valid(path: &Path, format: Format) -> ExitCode {
    match format {
        Format::Text => println!("{}: ok", path.display()),
        Format::Json => println!("{}", json!({ "ok": true })),
    }
    ExitCode::SUCCESS
}

fn print_tree_faults(path: &Path, faults: &[TreeFault], format: Format) -> ExitCode {
    match format {
        Format::Json => println!("{}", json!({ "ok": false, "faults": faults })),
        Format::Text => {
            faults.iter().for_each(|fault| eprintln!("{}: {fault}", path.display()));
        }
    }
    ExitCode::from(EXIT_FAULTS)
}
