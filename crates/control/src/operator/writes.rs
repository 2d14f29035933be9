//! Write access to the settings tree.
//!
//! A change states its base revision. A drain, and optionally a rollback, is based on the revision in
//! force on arrival instead. A retry of such a call then has a later base, so the log rejects its
//! change id as used; the retry still gets the answer of the first call if the recorded change did
//! the same.

use axum::Json;
use axum::extract::rejection::JsonRejection;
use axum::extract::{Path, State};
use juniper_control_state::command::MAX_AUTHOR_BYTES;
use juniper_control_state::{
    Answer, Command, HistoryEntry, MAX_COMMAND_BYTES, WriteAnswer, WriteHeader, to_bytes,
};
use juniper_protocol::Refusal;
use juniper_settings::{ChangeSet, Edit, ValidatedTree};
use juniper_types::{ChangeId, EngineId, Revision};
use serde::{Deserialize, Serialize};

use super::OperatorApi;
use super::error::OperatorError;
use super::settings::{ApiState, read};
use crate::clock::unix_millis;

/// Author of a write without one.
const DEFAULT_AUTHOR: &str = "operator";

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

type Accepted = Result<Json<AcceptedBody>, OperatorError>;

/// `POST /v1/settings/changes`
pub(super) async fn change(
    State(api): ApiState,
    body: Result<Json<ChangeBody>, JsonRejection>,
) -> Accepted {
    let Json(body) = body?;
    let header = header(body.base_revision, body.change_id, body.author)?;
    write(&api, Command::ChangeSettings { header, change: body.edits }).await
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RollbackBody {
    #[serde(default)]
    base_revision: Option<Revision>,
    change_id: ChangeId,
    #[serde(default)]
    author: Option<String>,
    to: Revision,
}

/// `POST /v1/settings/rollbacks`
pub(super) async fn rollback(
    State(api): ApiState,
    body: Result<Json<RollbackBody>, JsonRejection>,
) -> Accepted {
    let Json(body) = body?;
    let to = body.to;
    if let Some(base) = body.base_revision {
        let header = header(base, body.change_id, body.author)?;
        return write(&api, Command::Rollback { header, to }).await;
    }
    let base = read(&api, false, |state| state.settings().revision()).await?;
    let header = header(base, body.change_id, body.author)?;
    let written = write(&api, Command::Rollback { header, to }).await;
    first_answer(&api, written, move |entry| entry.rolled_back_to == Some(to)).await
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DrainBody {
    change_id: ChangeId,
    #[serde(default)]
    author: Option<String>,
    /// False returns the back end to service.
    #[serde(default = "default_leaving")]
    leaving: bool,
}

fn default_leaving() -> bool {
    true
}

/// `POST /v1/back-ends/{id}/drain`: changes the settings at the current revision. A concurrent write
/// makes this a conflict, as for any other change.
pub(super) async fn drain(
    State(api): ApiState,
    Path(id): Path<u32>,
    body: Result<Json<DrainBody>, JsonRejection>,
) -> Accepted {
    let Json(body) = body?;
    let id = EngineId(id);
    let leaving = body.leaving;
    let (revision, edit) = read(&api, false, move |state| {
        let settings = state.settings();
        (settings.revision(), drain_edit(settings.tree(), id, leaving))
    })
    .await?;
    let change = ChangeSet { edits: vec![edit.ok_or(OperatorError::NoBackEnd(id))?] };
    let header = header(revision, body.change_id, body.author)?;
    let written = write(&api, Command::ChangeSettings { header, change }).await;
    first_answer(&api, written, move |entry| has_drained(entry, id, leaving)).await
}

fn drain_edit(tree: &ValidatedTree, id: EngineId, leaving: bool) -> Option<Edit> {
    let path = tree.back_end(id)?.clone();
    let mut node = tree.tree().node(&path)?.clone();
    let back_end = node.back_ends.iter_mut().find(|back_end| back_end.id == id)?;
    back_end.leaving = leaving;
    Some(Edit::Put { path, node: Box::new(node) })
}

/// Whether a change set the back end's drain state as requested. A drain without effect is recorded
/// without changes of nodes.
fn has_drained(entry: &HistoryEntry, id: EngineId, leaving: bool) -> bool {
    let after = entry.changes.iter().filter_map(|change| change.after.as_ref());
    let mut changed = after.flat_map(|node| &node.back_ends).filter(|back_end| back_end.id == id);
    let had_no_effect = entry.changes.is_empty() && entry.rolled_back_to.is_none();
    had_no_effect || changed.any(|back_end| back_end.leaving == leaving)
}

/// Replaces the rejection of a used change id by the answer of the first call, if `is_same` holds for
/// the change recorded under that id.
async fn first_answer(
    api: &OperatorApi,
    written: Accepted,
    is_same: impl Fn(&HistoryEntry) -> bool + Clone + Send + 'static,
) -> Accepted {
    let Err(OperatorError::ChangeIdReused { revision }) = written else {
        return written;
    };
    let same = read(api, false, move |state| {
        let mut entries = state.settings().history().entries();
        entries.any(|entry| entry.revision == revision && is_same(entry))
    });
    if same.await? {
        return Ok(Json(AcceptedBody { revision }));
    }
    Err(OperatorError::ChangeIdReused { revision })
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

async fn write(api: &OperatorApi, command: Command) -> Accepted {
    let bytes = to_bytes(&command).len();
    if bytes > MAX_COMMAND_BYTES {
        return Err(OperatorError::TooLarge { bytes, limit: MAX_COMMAND_BYTES });
    }
    match api.group.write(&command).await? {
        Answer::Write(answer) => accepted(answer),
        _ => Err(OperatorError::Refused(Refusal::Unknown)),
    }
}

fn accepted(answer: WriteAnswer) -> Accepted {
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
