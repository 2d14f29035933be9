//! Listing and release of quarantined requests.

use axum::Json;
use axum::extract::{Path, State};
use juniper_control_state::Command;
use juniper_registry::InstanceName;
use juniper_types::RequestFingerprint;
use serde::Serialize;

use super::error::OperatorError;
use super::settings::ApiState;

#[derive(Serialize)]
pub(super) struct QuarantineBody {
    requests: Vec<RequestItem>,
}

#[derive(Serialize)]
struct RequestItem {
    /// Fingerprint of the request, as in logs.
    fingerprint: String,
    /// Servers that crashed under the request.
    servers: Vec<String>,
    /// Start of the quarantine, in seconds since the Unix epoch.
    since: u64,
}

/// `GET /v1/quarantine`: quarantined requests, oldest first.
pub(super) async fn list(State(api): ApiState) -> Result<Json<QuarantineBody>, OperatorError> {
    let name = |server: &InstanceName| server.to_string();
    let read = move |state: &juniper_control_state::ControlState| {
        let quarantined = state.fleet().quarantine().requests();
        let items = quarantined.map(|entry| RequestItem {
            fingerprint: entry.request.to_string(),
            servers: entry.servers.iter().map(name).collect(),
            since: entry.since,
        });
        items.collect::<Vec<_>>()
    };
    let requests = api.group.read(false, read).await?;
    Ok(Json(QuarantineBody { requests }))
}

#[derive(Serialize)]
pub(super) struct ReleasedBody {
    released: String,
}

/// `DELETE /v1/quarantine/{fingerprint}`: releases a request. Has no effect if the request isn't
/// quarantined.
pub(super) async fn release(
    State(api): ApiState,
    Path(fingerprint): Path<String>,
) -> Result<Json<ReleasedBody>, OperatorError> {
    let request: RequestFingerprint = fingerprint.parse()?;
    api.group.write(&Command::Release { request }).await?;
    log::info!("event=release_asked fingerprint={request} reason=operator");
    Ok(Json(ReleasedBody { released: request.to_string() }))
}
