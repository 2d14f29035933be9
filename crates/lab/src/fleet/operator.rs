//! Client of the operator APIs and the emulators' control endpoints of a fleet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use juniper_emulators::http::report::{WITNESS_PATH, WitnessReport};
use serde::Deserialize;

use super::FleetError;
use super::node_files::OPERATOR_KEY;
use super::tree::SettingsChange;

/// Timeout for a condition to be met.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of an HTTP request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct RevisionBody {
    revision: u64,
}

/// HTTP client that acts as an operator.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    http: reqwest::Client,
}

impl Operator {
    /// Waits until a GET of `path` at `address` succeeds.
    ///
    /// # Errors
    /// Fails when no GET succeeds within `CONDITION_TIMEOUT`.
    pub async fn wait_for(&self, address: SocketAddr, path: &str) -> Result<(), FleetError> {
        let start = Instant::now();
        let url = format!("http://{address}{path}");
        while start.elapsed() < CONDITION_TIMEOUT {
            let answer = self.http.get(&url).timeout(CALL_TIMEOUT).send().await;
            if answer.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(FleetError::TimedOut { what: url })
    }

    /// Submits `change` to the control replicas in turn until one accepts the change, and
    /// returns the new revision. Retries carry the same change id and are applied once.
    ///
    /// # Errors
    /// Fails when the change is refused or not accepted within `CONDITION_TIMEOUT`.
    pub async fn apply(
        &self,
        control: &[SocketAddr],
        change: &SettingsChange,
    ) -> Result<u64, FleetError> {
        let start = Instant::now();
        for address in control.iter().cycle() {
            if start.elapsed() > CONDITION_TIMEOUT {
                break;
            }
            let url = format!("http://{address}/v1/settings/changes");
            let call = self.http.post(&url).bearer_auth(OPERATOR_KEY).json(change);
            if let Ok(response) = call.timeout(CALL_TIMEOUT).send().await {
                let status = response.status();
                let text = response.text().await.unwrap_or_default();
                if let (true, Ok(body)) =
                    (status.is_success(), serde_json::from_str::<RevisionBody>(&text))
                {
                    return Ok(body.revision);
                }
                if status.is_client_error() {
                    return Err(FleetError::ChangeRefused {
                        change_id: change.change_id.as_str().to_owned(),
                        status: status.as_u16(),
                        body: text,
                    });
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(FleetError::TimedOut { what: format!("change {}", change.change_id.as_str()) })
    }

    /// Returns the revision in force at a router, or `None` if the request fails.
    pub async fn revision(&self, router: SocketAddr) -> Option<u64> {
        let url = format!("http://{router}/v1/status");
        let call = self.http.get(url).bearer_auth(OPERATOR_KEY).timeout(CALL_TIMEOUT);
        let body: RevisionBody = call.send().await.ok()?.json().await.ok()?;
        Some(body.revision)
    }

    /// Waits until `revision` or a later one is in force at all `routers`.
    ///
    /// # Errors
    /// Fails when a router doesn't reach the revision within `CONDITION_TIMEOUT`.
    pub async fn wait_for_revision(
        &self,
        routers: &[SocketAddr],
        revision: u64,
    ) -> Result<(), FleetError> {
        let start = Instant::now();
        for router in routers {
            while self.revision(*router).await.is_none_or(|own| own < revision) {
                if start.elapsed() > CONDITION_TIMEOUT {
                    let what = format!("revision {revision} at {router}");
                    return Err(FleetError::TimedOut { what });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Fetches the invariant breaches recorded by an emulator.
    ///
    /// # Errors
    /// Fails when the request fails.
    pub async fn witness(&self, address: SocketAddr) -> Result<WitnessReport, FleetError> {
        let fault = |source| FleetError::Call { address, source };
        let call = self.http.get(format!("http://{address}{WITNESS_PATH}")).timeout(CALL_TIMEOUT);
        call.send().await.map_err(fault)?.json().await.map_err(fault)
    }

    /// Announces to an engine that its host is about to be removed.
    ///
    /// # Errors
    /// Fails when the request fails.
    pub async fn announce_departure(&self, address: SocketAddr) -> Result<(), FleetError> {
        let url = format!("http://{address}/v1/emulator/leave");
        let call = self.http.post(url).timeout(CALL_TIMEOUT);
        match call.send().await.and_then(reqwest::Response::error_for_status) {
            Ok(_) => Ok(()),
            Err(source) => Err(FleetError::Call { address, source }),
        }
    }
}
