//! Fetches the weights that an engine asks for.

use std::net::SocketAddr;
use std::time::Duration;

use crate::engine::WeightLoad;
use crate::http::weights::LoadCall;
use crate::weights::LOAD_BYTES_PER_SECOND;

/// Pause before a failed fetch is tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Where weights come from.
#[derive(Clone, Debug)]
pub(super) struct WeightFetcher {
    http: reqwest::Client,
    store: Option<SocketAddr>,
}

impl WeightFetcher {
    /// Fetches from the weight store at `store`, or without one at the full rate.
    pub(super) fn new(store: Option<SocketAddr>) -> Self {
        WeightFetcher { http: reqwest::Client::new(), store }
    }

    /// Returns once `load` has arrived.
    pub(super) async fn fetch(&self, load: &WeightLoad) {
        let Some(store) = self.store else {
            let seconds = load.bytes() as f64 / LOAD_BYTES_PER_SECOND as f64;
            return tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        };
        let url = format!("http://{store}/v1/loads");
        loop {
            let call = self.http.post(&url).json(&LoadCall { bytes: load.bytes() });
            match call.send().await.and_then(reqwest::Response::error_for_status) {
                Ok(_) => return,
                Err(error) => log::warn!("event=weight_fetch_failed reason=\"{error}\""),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
