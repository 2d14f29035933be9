//! `recover`: disaster recovery after a permanent loss of quorum.
//!
//! Works offline on the data folders of stopped replicas. Without `--apply` the plan is only
//! printed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use juniper_consensus::{ClusterEpoch, Member, ReplicaId};
use juniper_control::replica::REPLICA_FOLDER;
use juniper_storage::{
    Folder, FolderReport, OpenError, RecoveryError, RecoveryPlan, apply, inspect, plan,
};
use lexopt::{Arg, ValueExt};
use serde_json::{Value, json};

use crate::arguments::ArgumentError;
use crate::output::{Format, print};

const NOT_APPLIED: &str = "nothing was changed; repeat with --apply to carry out the plan";
const APPLIED: &str = "the plan was carried out; start the chosen replica, and wipe the folders \
                       of all others before they start";
const INCOMPLETE: &str = "the folders hold no majority of the voters: the newest accepted \
                          changes may be missing";

/// Failure to plan or apply a recovery.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RecoverError {
    /// Folder that doesn't exist or can't be resolved.
    #[error("{path}: {source}")]
    NoFolder {
        /// Path as given on the command line.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// Folder that can't be opened or read, for example because its replica is still running.
    #[error("{path}: {source}")]
    #[diagnostic(help("stop every control replica first; leave out folders that can't be read"))]
    Unreadable {
        /// Path of the folder.
        path: PathBuf,
        /// Cause.
        source: OpenError,
    },
    /// No folder qualifies for recovery.
    #[error(transparent)]
    Plan(#[from] RecoveryError),
    /// The plan couldn't be applied to the chosen folder.
    #[error("{path}: {source}")]
    Apply {
        /// Path of the chosen folder.
        path: PathBuf,
        /// Cause.
        source: RecoveryError,
    },
}

#[derive(Default)]
struct RecoverArguments {
    folders: Vec<PathBuf>,
    is_applied: bool,
    format: Format,
}

fn read_arguments(parser: &mut lexopt::Parser) -> Result<RecoverArguments, ArgumentError> {
    let mut arguments = RecoverArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("folder") => arguments.folders.push(parser.value()?.into()),
            Arg::Long("apply") => arguments.is_applied = true,
            Arg::Long("format") => arguments.format = Format::parse(&parser.value()?.string()?)?,
            other => return Err(other.unexpected().into()),
        }
    }
    if arguments.folders.is_empty() {
        return Err(ArgumentError::Missing("--folder"));
    }
    Ok(arguments)
}

/// Runs `recover --folder DIR [--folder DIR…] [--apply]`.
pub fn recover(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let arguments = read_arguments(parser)?;
    let inspected = inspect_all(resolve_folders(&arguments.folders)?)?;
    let reports = inspected.iter().map(|folder| folder.report.clone()).collect();
    let plan = plan(reports, rand::random()).map_err(RecoverError::from)?;
    if arguments.is_applied {
        apply_plan(&plan, &inspected)?;
    }
    print(&describe(&plan, &inspected, arguments.is_applied), arguments.format);
    Ok(ExitCode::SUCCESS)
}

/// Resolves the given paths to replica folders. A duplicate is rejected, since opening it a
/// second time would fail with a misleading lock error.
fn resolve_folders(given: &[PathBuf]) -> miette::Result<Vec<PathBuf>> {
    let mut found = Vec::new();
    for path in given {
        let folder = resolve_folder(path)?;
        if found.contains(&folder) {
            let value = path.display().to_string();
            let allowed = "a folder that was not given before";
            return Err(ArgumentError::Value { name: "--folder", value, allowed }.into());
        }
        found.push(folder);
    }
    Ok(found)
}

/// Resolves a replica folder or a node's data folder to the replica folder. The folder must
/// exist, since opening it would create it.
fn resolve_folder(given: &Path) -> Result<PathBuf, RecoverError> {
    let inner = given.join(REPLICA_FOLDER);
    let folder = if inner.is_dir() { inner } else { given.to_path_buf() };
    let canonical = folder.canonicalize();
    canonical.map_err(|source| RecoverError::NoFolder { path: given.to_path_buf(), source })
}

/// Replica folder with the report on its contents.
struct InspectedFolder {
    path: PathBuf,
    report: FolderReport,
}

/// Inspects all folders, holding every lock until the last one is read so that the reports are
/// consistent with each other. The locks are released on return.
fn inspect_all(paths: Vec<PathBuf>) -> Result<Vec<InspectedFolder>, RecoverError> {
    let mut locked = Vec::new();
    let mut inspected = Vec::new();
    for path in paths {
        match inspect_one(&path) {
            Ok((folder, report)) => {
                locked.push(folder);
                inspected.push(InspectedFolder { path, report });
            }
            Err(source) => return Err(RecoverError::Unreadable { path, source }),
        }
    }
    Ok(inspected)
}

fn inspect_one(path: &Path) -> Result<(Folder, FolderReport), OpenError> {
    let mut folder = Folder::new(path)?;
    let report = inspect(&mut folder)?;
    Ok((folder, report))
}

fn apply_plan(plan: &RecoveryPlan, inspected: &[InspectedFolder]) -> Result<(), RecoverError> {
    for folder in inspected.iter().filter(|folder| folder.report == plan.chosen) {
        let opened = Folder::new(&folder.path).map_err(|error| OpenError::from(error).into());
        let applied = opened.and_then(|disk| apply(disk, plan));
        applied.map_err(|source| RecoverError::Apply { path: folder.path.clone(), source })?;
    }
    Ok(())
}

fn describe(plan: &RecoveryPlan, inspected: &[InspectedFolder], is_applied: bool) -> Value {
    let folder = |report: &FolderReport| {
        let found = inspected.iter().find(|folder| folder.report == *report);
        describe_folder(found.map(|folder| folder.path.as_path()), report)
    };
    let given_up: Vec<Value> = plan.discarded.iter().map(folder).collect();
    // The plan omits replicas that never joined a cluster, so they are listed separately.
    let unjoined = inspected.iter().filter(|folder| folder.report.epoch == ClusterEpoch::NONE);
    let never_joined: Vec<Value> = unjoined.map(|entry| folder(&entry.report)).collect();
    let missing_voters: Vec<Value> = plan.missing_voters.iter().map(describe_replica).collect();
    let membership: Vec<Value> = plan.membership.members.iter().map(describe_member).collect();
    json!({
        "applied": is_applied,
        "chosen": folder(&plan.chosen),
        "given_up": given_up,
        "never_joined": never_joined,
        "missing_voters": missing_voters,
        "is_complete": plan.is_complete,
        "epoch": plan.epoch.to_string(),
        "membership": membership,
        "notes": notes(plan, is_applied),
    })
}

fn notes(plan: &RecoveryPlan, is_applied: bool) -> Vec<&'static str> {
    let warning = (!plan.is_complete).then_some(INCOMPLETE);
    let outcome = if is_applied { APPLIED } else { NOT_APPLIED };
    warning.into_iter().chain([outcome]).collect()
}

fn describe_folder(path: Option<&Path>, report: &FolderReport) -> Value {
    json!({
        "folder": path.map(|path| path.display().to_string()),
        "node": report.id.node,
        "disk": report.id.disk.to_string(),
        "epoch": report.epoch.to_string(),
        "term": report.term,
        "last_term": report.last.term,
        "last_index": report.last.index,
        "commit_index": report.commit,
        "snapshot_index": report.snapshot.index,
    })
}

fn describe_replica(id: &ReplicaId) -> Value {
    json!({ "node": id.node, "disk": id.disk.to_string() })
}

fn describe_member(member: &Member) -> Value {
    let role = member.role.as_str();
    let disk = member.id.disk.to_string();
    json!({ "node": member.id.node, "disk": disk, "zone": member.zone, "role": role })
}
