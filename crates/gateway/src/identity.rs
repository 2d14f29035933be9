//! Proof that a connection reaches the incarnation that it was opened for. A server that has just
//! restarted under its name and address serves requests before the replicas know of it.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use juniper_intake::{HeldBody, SegmentedBody};
use juniper_registry::{InstanceId, StartTime};
use tokio::time::timeout;

use crate::attempt_error::AttemptError;
use crate::gateway::Gateway;
use crate::pool::{ConnectError, ServerConnection};

/// Timeout for a server's statement; many round trips between zones.
const PROOF_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest statement that is read, in bytes.
const MAX_STATEMENT_BYTES: usize = 64 << 10;

/// Asks the server over the connection when it started, unless it has said so over the same one
/// before. Servers that report no start time have another name after each start.
///
/// # Errors
/// Fails if the server is another incarnation or doesn't answer. Nothing of the request was sent.
pub(crate) async fn prove_incarnation(
    gateway: &Arc<Gateway>,
    instance: &InstanceId,
    connection: &mut ServerConnection,
) -> Result<(), AttemptError> {
    if connection.is_proven || !instance.started().is_known() {
        return Ok(());
    }
    let stating = timeout(PROOF_TIMEOUT, stated_start(gateway, instance, connection)).await;
    let stated = match stating {
        Err(_) => return Err(AttemptError::NoStatement),
        Ok(stated) => stated.map_err(AttemptError::NotSent)?,
    };
    if stated > instance.started() {
        log::info!("event=server_restarted instance={instance}");
        return Err(AttemptError::Restarted);
    }
    connection.is_proven = true;
    Ok(())
}

/// Start time that the server states; unknown if it states none.
async fn stated_start(
    gateway: &Gateway,
    instance: &InstanceId,
    connection: &mut ServerConnection,
) -> Result<StartTime, ConnectError> {
    let mut request = Request::new(SegmentedBody::from(HeldBody::default()));
    *request.uri_mut() = Uri::from_static(gateway.dialect.identity_path());
    if let Ok(host) = HeaderValue::from_str(instance.as_str()) {
        request.headers_mut().insert(HOST, host);
    }
    connection.head_limit.begin();
    let response = connection.sender.send_request(request).await?;
    connection.head_limit.end();
    let is_success = response.status() == StatusCode::OK;
    let body = Limited::new(response.into_body(), MAX_STATEMENT_BYTES).collect().await;
    // A statement that can't be read disproves nothing.
    let start = body.ok().filter(|_| is_success).map(|body| body.to_bytes());
    Ok(start.map_or(StartTime::UNKNOWN, |body| gateway.dialect.parse_start(&body)))
}
