//! Client of the engines' HTTP endpoints for cache events, cache snapshots and load.

use std::net::SocketAddr;
use std::time::Duration;

use juniper_prefix_index::{CacheEvent, Snapshot};
use juniper_types::{BlockHash, Incarnation, WeightsVersion};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Time for which an engine may hold an event poll open.
pub const EVENT_WAIT: Duration = Duration::from_millis(1_000);

/// Timeout of a call, in addition to the time for which an engine may hold a poll open.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest accepted answer, in bytes; enough for a snapshot of a million blocks.
const MAX_ANSWER_BYTES: usize = 48 << 20;

/// Error of a call to an engine.
#[derive(Debug, thiserror::Error)]
pub enum EngineCallError {
    /// The HTTP request failed.
    #[error("engine call failed: {0}")]
    Http(#[from] reqwest::Error),
    /// The answer is larger than `MAX_ANSWER_BYTES`.
    #[error("the engine's answer has more than {MAX_ANSWER_BYTES} bytes")]
    TooLarge,
    /// The answer is not the expected JSON.
    #[error("the engine's answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The answer contains a malformed block hash.
    #[error("the engine's answer has a malformed block hash")]
    MalformedHash,
}

/// Load report of an engine, which describes the state `age_ms` ago.
#[derive(Clone, Debug, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Age of the report when it was sent, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Number of requests that generate output.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt tokens of the queued requests.
    pub waiting_prompt_tokens: u64,
    /// Loaded model, if any.
    #[serde(default)]
    pub model: Option<String>,
    /// Version of the loaded weights.
    pub weights: WeightsVersion,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Software version of the engine, if it states one.
    #[serde(default)]
    pub software: Option<String>,
    /// Whether the engine refuses new requests because it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Cache events of one poll.
#[derive(Clone, Debug)]
pub struct EventBatch {
    /// Incarnation that the events belong to.
    pub incarnation: Incarnation,
    /// Events in ascending sequence.
    pub events: Vec<CacheEvent>,
}

#[derive(Deserialize)]
struct EventBatchBody {
    incarnation: Incarnation,
    events: Vec<EventBody>,
}

#[derive(Deserialize)]
struct EventBody {
    sequence: u64,
    #[serde(default)]
    stored: Vec<String>,
    #[serde(default)]
    removed: Vec<String>,
}

#[derive(Deserialize)]
struct SnapshotBody {
    incarnation: Incarnation,
    sequence: u64,
    blocks: Vec<String>,
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct EngineApi {
    http: reqwest::Client,
    base: String,
}

impl EngineApi {
    /// Creates a client of the engine at `address`.
    pub fn new(http: reqwest::Client, address: SocketAddr) -> Self {
        EngineApi { http, base: format!("http://{address}") }
    }

    /// Fetches the latest load report.
    ///
    /// # Errors
    /// Fails when the engine doesn't answer or the answer is invalid.
    pub async fn load(&self) -> Result<LoadReport, EngineCallError> {
        self.get("/v1/load", ANSWER_TIMEOUT).await
    }

    /// Polls for cache events of `incarnation` with a sequence above `after`. The engine holds the
    /// poll open for up to [`EVENT_WAIT`] while there are none.
    ///
    /// # Errors
    /// Fails when the engine doesn't answer or the answer is invalid.
    pub async fn events(
        &self,
        incarnation: Incarnation,
        after: u64,
    ) -> Result<EventBatch, EngineCallError> {
        let wait = EVENT_WAIT.as_millis();
        let path =
            format!("/v1/cache/events?incarnation={}&after={after}&wait_ms={wait}", incarnation.0);
        let body: EventBatchBody = self.get(&path, EVENT_WAIT + ANSWER_TIMEOUT).await?;
        let events = body.events.into_iter().map(EventBody::parse).collect::<Result<_, _>>()?;
        Ok(EventBatch { incarnation: body.incarnation, events })
    }

    /// Fetches a snapshot of the cache.
    ///
    /// # Errors
    /// Fails when the engine doesn't answer or the answer is invalid.
    pub async fn snapshot(&self) -> Result<Snapshot, EngineCallError> {
        let body: SnapshotBody = self.get("/v1/cache/snapshot", SNAPSHOT_TIMEOUT).await?;
        Ok(Snapshot {
            incarnation: body.incarnation,
            sequence: body.sequence,
            blocks: parse_hashes(&body.blocks)?,
        })
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, EngineCallError> {
        let request = self.http.get(format!("{}{path}", self.base)).timeout(limit);
        let mut response = request.send().await?.error_for_status()?;
        let mut body = Vec::new();
        while let Some(bytes) = response.chunk().await? {
            body.extend_from_slice(&bytes);
            if body.len() > MAX_ANSWER_BYTES {
                return Err(EngineCallError::TooLarge);
            }
        }
        Ok(serde_json::from_slice(&body)?)
    }
}

impl EventBody {
    fn parse(self) -> Result<CacheEvent, EngineCallError> {
        Ok(CacheEvent {
            sequence: self.sequence,
            stored: parse_hashes(&self.stored)?,
            removed: parse_hashes(&self.removed)?,
        })
    }
}

fn parse_hashes(texts: &[String]) -> Result<Vec<BlockHash>, EngineCallError> {
    let parse = |text: &String| text.parse().map_err(|_| EngineCallError::MalformedHash);
    texts.iter().map(parse).collect()
}
