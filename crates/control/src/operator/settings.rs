//! Reading and writing the settings tree.

use std::sync::Arc;

use axum::Json;
use axum::extract::rejection::{JsonRejection, QueryRejection};
use axum::extract::{Path, Query as UrlQuery, State};
use juniper_control_state::command::MAX_AUTHOR_BYTES;
use juniper_control_state::{
    Answer, Command, ControlState, HistoryEntry, MAX_COMMAND_BYTES, WriteAnswer, WriteHeader,
    to_bytes,
};
use juniper_protocol::Refusal;
use juniper_settings::{
    ChangeSet, Edit, EffectiveSettings, NodeChange, SettingsNode, SettingsPath, SettingsTree,
};
use juniper_types::{ChangeId, EngineId, Revision};
use serde::{Deserialize, Serialize};

use super::OperatorFace;
use super::error::OperatorError;
use crate::clock::unix_millis;

/// Author of a write that names none.
const DEFAULT_AUTHOR: &str = "operator";

/// Changes listed where the caller names no limit.
const DEFAULT_HISTORY: usize = 50;

type Face = State<Arc<OperatorFace>>;

/// Reads the state, confirmed by a quorum unless the caller takes a stale one.
async fn read<R: Send + 'static>(
    face: &OperatorFace,
    stale: bool,
    read: impl Fn(&ControlState) -> R + Clone + Send + 'static,
) -> Result<R, OperatorError> {
    Ok(face.group.read(stale, read).await?)
}

/// Whether a read may come from this replica without asking a quorum.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ReadOptions {
    #[serde(default)]
    stale: bool,
}

#[derive(Serialize)]
pub(super) struct TreeBody {
    revision: Revision,
    tree: SettingsTree,
}

/// `GET /v1/settings`
pub(super) async fn tree(
    State(face): Face,
    options: Result<UrlQuery<ReadOptions>, QueryRejection>,
) -> Result<Json<TreeBody>, OperatorError> {
    let UrlQuery(options) = options?;
    let body = read(&face, options.stale, |state| TreeBody {
        revision: state.settings().revision(),
        tree: state.settings().tree().tree().clone(),
    });
    Ok(Json(body.await?))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PathQuery {
    path: String,
    #[serde(default)]
    stale: bool,
}

#[derive(Serialize)]
pub(super) struct NodeBody {
    revision: Revision,
    path: SettingsPath,
    node: SettingsNode,
}

/// `GET /v1/settings/node?path=/zone/tenant`
pub(super) async fn node(
    State(face): Face,
    query: Result<UrlQuery<PathQuery>, QueryRejection>,
) -> Result<Json<NodeBody>, OperatorError> {
    let UrlQuery(query) = query?;
    let path: SettingsPath = query.path.parse()?;
    let wanted = path.clone();
    let (revision, node) = read(&face, query.stale, move |state| {
        let node = state.settings().tree().tree().node(&wanted).cloned();
        (state.settings().revision(), node)
    })
    .await?;
    match node {
        Some(node) => Ok(Json(NodeBody { revision, path, node })),
        None => Err(OperatorError::NoNode(path)),
    }
}

#[derive(Serialize)]
pub(super) struct EffectiveBody {
    revision: Revision,
    path: SettingsPath,
    effective: EffectiveSettings,
}

/// `GET /v1/settings/effective?path=/zone/tenant/service`
pub(super) async fn effective(
    State(face): Face,
    query: Result<UrlQuery<PathQuery>, QueryRejection>,
) -> Result<Json<EffectiveBody>, OperatorError> {
    let UrlQuery(query) = query?;
    let path: SettingsPath = query.path.parse()?;
    let body = read(&face, query.stale, move |state| EffectiveBody {
        revision: state.settings().revision(),
        effective: state.settings().tree().tree().effective(&path),
        path: path.clone(),
    });
    Ok(Json(body.await?))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeBody {
    base_revision: Revision,
    change_id: ChangeId,
    #[serde(default)]
    author: Option<String>,
    edits: ChangeSet,
}

#[derive(Serialize)]
pub(super) struct AcceptedBody {
    revision: Revision,
}

/// `POST /v1/settings/changes`
pub(super) async fn change(
    State(face): Face,
    body: Result<Json<ChangeBody>, JsonRejection>,
) -> Result<Json<AcceptedBody>, OperatorError> {
    let Json(body) = body?;
    let header = header(body.base_revision, body.change_id, body.author)?;
    write(&face, Command::ChangeSettings { header, change: body.edits }).await
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RollbackBody {
    base_revision: Revision,
    change_id: ChangeId,
    #[serde(default)]
    author: Option<String>,
    to: Revision,
}

/// `POST /v1/settings/rollbacks`
pub(super) async fn rollback(
    State(face): Face,
    body: Result<Json<RollbackBody>, JsonRejection>,
) -> Result<Json<AcceptedBody>, OperatorError> {
    let Json(body) = body?;
    let header = header(body.base_revision, body.change_id, body.author)?;
    write(&face, Command::Rollback { header, to: body.to }).await
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DrainBody {
    change_id: ChangeId,
    #[serde(default)]
    author: Option<String>,
    /// False takes the back end into service again.
    #[serde(default = "default_leaving")]
    leaving: bool,
}

fn default_leaving() -> bool {
    true
}

/// `POST /v1/back-ends/{id}/drain`: a settings change upon the current revision.
/// A write that comes in between makes it a conflict, like any other change.
pub(super) async fn drain(
    State(face): Face,
    Path(id): Path<u32>,
    body: Result<Json<DrainBody>, JsonRejection>,
) -> Result<Json<AcceptedBody>, OperatorError> {
    let Json(body) = body?;
    let id = EngineId(id);
    let leaving = body.leaving;
    let (revision, edit) = read(&face, false, move |state| {
        let settings = state.settings();
        (settings.revision(), drain_edit(settings.tree(), id, leaving))
    })
    .await?;
    let change = ChangeSet { edits: vec![edit.ok_or(OperatorError::NoBackEnd(id))?] };
    let header = header(revision, body.change_id, body.author)?;
    write(&face, Command::ChangeSettings { header, change }).await
}

fn drain_edit(tree: &juniper_settings::ValidatedTree, id: EngineId, leaving: bool) -> Option<Edit> {
    let path = tree.back_end(id)?.clone();
    let mut node = tree.tree().node(&path)?.clone();
    let back_end = node.back_ends.iter_mut().find(|back_end| back_end.id == id)?;
    back_end.leaving = leaving;
    Some(Edit::Put { path, node: Box::new(node) })
}

fn header(
    base: Revision,
    change_id: ChangeId,
    author: Option<String>,
) -> Result<WriteHeader, OperatorError> {
    let author = author.unwrap_or_else(|| DEFAULT_AUTHOR.to_owned());
    if author.len() > MAX_AUTHOR_BYTES {
        return Err(OperatorError::AuthorTooLong { limit: MAX_AUTHOR_BYTES });
    }
    Ok(WriteHeader { base, change_id, author, at_ms: unix_millis() })
}

async fn write(face: &OperatorFace, command: Command) -> Result<Json<AcceptedBody>, OperatorError> {
    let bytes = to_bytes(&command).len();
    if bytes > MAX_COMMAND_BYTES {
        return Err(OperatorError::TooLarge { bytes, limit: MAX_COMMAND_BYTES });
    }
    match face.group.write(&command).await? {
        Answer::Write(answer) => accepted(answer),
        _ => Err(OperatorError::Refused(Refusal::Unknown)),
    }
}

fn accepted(answer: WriteAnswer) -> Result<Json<AcceptedBody>, OperatorError> {
    Err(match answer {
        WriteAnswer::Accepted { revision } => return Ok(Json(AcceptedBody { revision })),
        WriteAnswer::Conflict { current, .. } => OperatorError::Conflict { current, answer },
        WriteAnswer::Invalid { ref faults } => {
            OperatorError::Invalid { count: faults.len(), answer }
        }
        WriteAnswer::ChangeIdReused { revision } => OperatorError::ChangeIdReused { revision },
        WriteAnswer::RateLimited { retry_after_ms } => {
            OperatorError::RateLimited { retry_after_ms }
        }
        WriteAnswer::RevisionUnavailable { oldest, current } => {
            OperatorError::RevisionUnavailable { oldest, current }
        }
    })
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HistoryQuery {
    #[serde(default = "default_history")]
    limit: usize,
    #[serde(default)]
    stale: bool,
}

fn default_history() -> usize {
    DEFAULT_HISTORY
}

#[derive(Serialize)]
pub(super) struct HistoryBody {
    revision: Revision,
    oldest: Revision,
    changes: Vec<HistoryItem>,
}

#[derive(Serialize)]
struct HistoryItem {
    revision: Revision,
    change_id: ChangeId,
    author: String,
    at_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    rolled_back_to: Option<Revision>,
    paths: Vec<SettingsPath>,
}

impl HistoryItem {
    fn of(entry: &HistoryEntry) -> Self {
        HistoryItem {
            revision: entry.revision,
            change_id: entry.change_id.clone(),
            author: entry.author.clone(),
            at_ms: entry.at_ms,
            rolled_back_to: entry.rolled_back_to,
            paths: entry.changes.iter().map(|change| change.path.clone()).collect(),
        }
    }
}

/// `GET /v1/settings/history?limit=50`, the latest first
pub(super) async fn history(
    State(face): Face,
    query: Result<UrlQuery<HistoryQuery>, QueryRejection>,
) -> Result<Json<HistoryBody>, OperatorError> {
    let UrlQuery(query) = query?;
    let limit = query.limit;
    let body = read(&face, query.stale, move |state| {
        let settings = state.settings();
        let latest = settings.history().entries().rev().take(limit);
        HistoryBody {
            revision: settings.revision(),
            oldest: settings.history().oldest(settings.revision()),
            changes: latest.map(HistoryItem::of).collect(),
        }
    });
    Ok(Json(body.await?))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DiffQuery {
    from: Revision,
    to: Option<Revision>,
    #[serde(default)]
    stale: bool,
}

#[derive(Serialize)]
pub(super) struct DiffBody {
    from: Revision,
    to: Revision,
    changes: Vec<NodeChange>,
}

/// `GET /v1/settings/diff?from=3&to=7`; `to` defaults to the revision in force
pub(super) async fn diff(
    State(face): Face,
    query: Result<UrlQuery<DiffQuery>, QueryRejection>,
) -> Result<Json<DiffBody>, OperatorError> {
    let UrlQuery(query) = query?;
    let from = query.from;
    let (current, oldest, to, changes) = read(&face, query.stale, move |state| {
        let settings = state.settings();
        let current = settings.revision();
        let to = query.to.unwrap_or(current);
        (current, settings.history().oldest(current), to, settings.diff(from, to))
    })
    .await?;
    match changes {
        Some(changes) => Ok(Json(DiffBody { from, to, changes })),
        None => Err(OperatorError::RevisionUnavailable { oldest, current }),
    }
}
