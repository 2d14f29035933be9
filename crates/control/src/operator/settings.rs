//! Read access to the settings tree and its history.

use std::sync::Arc;

use axum::Json;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Query as UrlQuery, State};
use juniper_control_state::{ControlState, HistoryEntry};
use juniper_settings::{EffectiveSettings, NodeChange, SettingsNode, SettingsPath, SettingsTree};
use juniper_types::{ChangeId, Revision};
use serde::{Deserialize, Serialize};

use super::OperatorApi;
use super::error::OperatorError;

/// Number of changes listed if the caller gives no limit.
const DEFAULT_HISTORY_LIMIT: usize = 50;

pub(super) type ApiState = State<Arc<OperatorApi>>;

/// Reads the state, confirmed by a quorum unless `stale` is set.
pub(super) async fn read<R: Send + 'static>(
    api: &OperatorApi,
    stale: bool,
    read: impl Fn(&ControlState) -> R + Clone + Send + 'static,
) -> Result<R, OperatorError> {
    Ok(api.group.read(stale, read).await?)
}

/// Options of a read; `stale` allows an answer without a quorum's confirmation.
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
    State(api): ApiState,
    options: Result<UrlQuery<ReadOptions>, QueryRejection>,
) -> Result<Json<TreeBody>, OperatorError> {
    let UrlQuery(options) = options?;
    let body = read(&api, options.stale, |state| TreeBody {
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
    State(api): ApiState,
    query: Result<UrlQuery<PathQuery>, QueryRejection>,
) -> Result<Json<NodeBody>, OperatorError> {
    let UrlQuery(query) = query?;
    let path: SettingsPath = query.path.parse()?;
    let requested = path.clone();
    let (revision, node) = read(&api, query.stale, move |state| {
        let node = state.settings().tree().tree().node(&requested).cloned();
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
    State(api): ApiState,
    query: Result<UrlQuery<PathQuery>, QueryRejection>,
) -> Result<Json<EffectiveBody>, OperatorError> {
    let UrlQuery(query) = query?;
    let path: SettingsPath = query.path.parse()?;
    let body = read(&api, query.stale, move |state| EffectiveBody {
        revision: state.settings().revision(),
        effective: state.settings().tree().tree().effective(&path),
        path: path.clone(),
    });
    Ok(Json(body.await?))
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
    DEFAULT_HISTORY_LIMIT
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
    fn from_entry(entry: &HistoryEntry) -> Self {
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
    State(api): ApiState,
    query: Result<UrlQuery<HistoryQuery>, QueryRejection>,
) -> Result<Json<HistoryBody>, OperatorError> {
    let UrlQuery(query) = query?;
    let limit = query.limit;
    let body = read(&api, query.stale, move |state| {
        let settings = state.settings();
        let latest = settings.history().entries().rev().take(limit);
        HistoryBody {
            revision: settings.revision(),
            oldest: settings.history().oldest(settings.revision()),
            changes: latest.map(HistoryItem::from_entry).collect(),
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
    State(api): ApiState,
    query: Result<UrlQuery<DiffQuery>, QueryRejection>,
) -> Result<Json<DiffBody>, OperatorError> {
    let UrlQuery(query) = query?;
    let from = query.from;
    let (current, oldest, to, changes) = read(&api, query.stale, move |state| {
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
