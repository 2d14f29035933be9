//! Operator client of a run: writes settings and records when changes were accepted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use juniper_settings::ApiKeyHash;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::hollow::unix_micros;
use super::layout::{Layout, OPERATOR_KEY};

/// Edits per change when writing the initial settings tree.
const EDITS_PER_CHANGE: usize = 200;

/// Delay before a rejected write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of attempts of a write.
const MAX_ATTEMPTS: usize = 60;

/// Failure of a write.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(super) enum WriteError {
    /// No replica accepted the change.
    #[error("no replica accepted change {change_id}; last answer: {answer}")]
    NotAccepted {
        /// Id of the change.
        change_id: String,
        /// Last answer of a replica, or the error of the request.
        answer: String,
    },
}

/// Client that writes settings and records when each revision was accepted.
pub(super) struct Operator {
    http: reqwest::Client,
    replicas: Vec<SocketAddr>,
    revision: u64,
    written: u64,
    /// Time at which the acceptance of each revision was received, in microseconds of Unix time.
    pub(super) accepted: BTreeMap<u64, u64>,
}

impl Operator {
    pub(super) fn new(replicas: Vec<SocketAddr>) -> Self {
        Operator {
            http: reqwest::Client::new(),
            replicas,
            revision: 0,
            written: 0,
            accepted: BTreeMap::new(),
        }
    }

    /// Latest accepted revision.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes the settings tree of the run.
    pub(super) async fn write_tree(
        &mut self,
        layout: &Layout,
        tenants: usize,
    ) -> Result<(), WriteError> {
        let mut edits = vec![json!({ "edit": "put", "path": "/", "node": {} })];
        edits.extend(layout.zones.iter().map(|zone| zone_edit(layout, zone.as_str())));
        for number in 0..tenants {
            let zone = &layout.zones[number % layout.zones.len()];
            edits.extend(tenant_edits(zone.as_str(), number));
        }
        for batch in edits.chunks(EDITS_PER_CHANGE) {
            self.write(batch.to_vec()).await?;
        }
        Ok(())
    }

    /// Writes a change with a single edit, as operators' automation does.
    pub(super) async fn write_small(&mut self, layout: &Layout) -> Result<(), WriteError> {
        let zone = layout.zones[0].as_str();
        let rate = 100 + self.written % 100;
        let edit = json!({
            "edit": "put",
            "path": format!("/{zone}/tenant-00000/chat"),
            "node": { "overrides": { "rate_per_second": rate as f64 } },
        });
        self.write(vec![edit]).await
    }

    async fn write(&mut self, edits: Vec<Value>) -> Result<(), WriteError> {
        self.written += 1;
        let change_id = format!("scale-{}", self.written);
        let change =
            json!({ "base_revision": self.revision, "change_id": change_id, "edits": edits });
        let mut answer = String::new();
        for attempt in 0..MAX_ATTEMPTS {
            let replica = self.replicas[attempt % self.replicas.len()];
            let url = format!("http://{replica}/v1/settings/changes");
            let request = self.http.post(url).bearer_auth(OPERATOR_KEY).json(&change);
            match request.send().await {
                Ok(response) if response.status().is_success() => {
                    let body: Value = response.json().await.unwrap_or_default();
                    let revision = body["revision"].as_u64().unwrap_or(self.revision + 1);
                    self.revision = revision;
                    self.accepted.insert(revision, unix_micros());
                    return Ok(());
                }
                Ok(response) => answer = response.text().await.unwrap_or_default(),
                Err(error) => answer = error.to_string(),
            }
            sleep(RETRY_DELAY).await;
        }
        Err(WriteError::NotAccepted { change_id, answer })
    }
}

fn zone_edit(layout: &Layout, zone: &str) -> Value {
    let engines = layout.engines.iter().filter(|engine| engine.zone.as_str() == zone);
    let back_ends: Vec<Value> = engines
        .map(|engine| {
            // No process listens on this address; hollow nodes emulate the engines they follow.
            let port = 1 + engine.id.0 % 1_000;
            let address = format!("127.1.{}.{}:{port}", engine.id.0 / 250, engine.id.0 % 250 + 1);
            json!({ "id": engine.id.0, "kind": "engine", "address": address })
        })
        .collect();
    json!({ "edit": "put", "path": format!("/{zone}"), "node": { "back_ends": back_ends } })
}

fn tenant_edits(zone: &str, number: usize) -> [Value; 2] {
    let key = ApiKeyHash::of(&format!("key-{number}")).0;
    let path = format!("/{zone}/tenant-{number:05}");
    [
        json!({ "edit": "put", "path": path, "node": { "api_keys": [key] } }),
        json!({
            "edit": "put",
            "path": format!("{path}/chat"),
            "node": { "overrides": { "traffic": "chat" } },
        }),
    ]
}
