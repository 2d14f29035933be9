//! What operators do with a fleet, over its operators' faces.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use juniper_emulators::http::report::{WITNESS_PATH, WitnessReport};
use serde::Deserialize;

use super::FleetError;
use super::node_files::OPERATOR_KEY;
use super::tree::SettingsChange;

/// Longest wait for something that should come about soon.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct RevisionBody {
    revision: u64,
}

/// Calls of operators.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    http: reqwest::Client,
}

impl Operator {
    /// Waits until a GET of `path` at `address` succeeds.
    ///
    /// # Errors
    /// Fails when it doesn't within `PATIENCE`.
    pub async fn wait_for(&self, address: SocketAddr, path: &str) -> Result<(), FleetError> {
        let start = Instant::now();
        let url = format!("http://{address}{path}");
        while start.elapsed() < PATIENCE {
            let answer = self.http.get(&url).timeout(CALL_TIMEOUT).send().await;
            if answer.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Err(FleetError::TimedOut { what: url })
    }

    /// Submits `change` to the control replicas until one takes it. The change
    /// keeps its id, so that it takes effect once however often it is sent.
    ///
    /// # Errors
    /// Fails when it is refused, or not taken within `PATIENCE`.
    pub async fn apply(
        &self,
        control: &[SocketAddr],
        change: &SettingsChange,
    ) -> Result<u64, FleetError> {
        let start = Instant::now();
        for address in control.iter().cycle() {
            if start.elapsed() > PATIENCE {
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
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Err(FleetError::TimedOut { what: format!("change {}", change.change_id.as_str()) })
    }

    /// The revision in force at a router; `None` while it doesn't answer.
    pub async fn revision(&self, router: SocketAddr) -> Option<u64> {
        let url = format!("http://{router}/v1/status");
        let call = self.http.get(url).bearer_auth(OPERATOR_KEY).timeout(CALL_TIMEOUT);
        let body: RevisionBody = call.send().await.ok()?.json().await.ok()?;
        Some(body.revision)
    }

    /// Waits until `revision` is in force at every router of `routers`.
    ///
    /// # Errors
    /// Fails when it isn't within `PATIENCE`.
    pub async fn wait_for_revision(
        &self,
        routers: &[SocketAddr],
        revision: u64,
    ) -> Result<(), FleetError> {
        let start = Instant::now();
        for router in routers {
            while self.revision(*router).await.is_none_or(|own| own < revision) {
                if start.elapsed() > PATIENCE {
                    let what = format!("revision {revision} at {router}");
                    return Err(FleetError::TimedOut { what });
                }
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Breaches that an emulator has seen.
    ///
    /// # Errors
    /// Fails when it doesn't answer.
    pub async fn witness(&self, address: SocketAddr) -> Result<WitnessReport, FleetError> {
        let fault = |source| FleetError::Call { address, source };
        let call = self.http.get(format!("http://{address}{WITNESS_PATH}")).timeout(CALL_TIMEOUT);
        call.send().await.map_err(fault)?.json().await.map_err(fault)
    }

    /// Tells an engine that its machine is about to be taken away.
    ///
    /// # Errors
    /// Fails when it doesn't answer.
    pub async fn leave(&self, address: SocketAddr) -> Result<(), FleetError> {
        let url = format!("http://{address}/v1/emulator/leave");
        let call = self.http.post(url).timeout(CALL_TIMEOUT);
        match call.send().await.and_then(reqwest::Response::error_for_status) {
            Ok(_) => Ok(()),
            Err(source) => Err(FleetError::Call { address, source }),
        }
    }
}
