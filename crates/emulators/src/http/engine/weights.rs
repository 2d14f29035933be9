//! Client that fetches weights for an engine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::engine::WeightLoad;
use crate::http::weights::LoadRequest;
use crate::weights::LOAD_BYTES_PER_SECOND;

/// Delay before a failed fetch is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Client of the weight store.
#[derive(Clone, Debug)]
pub(super) struct WeightFetcher {
    http: reqwest::Client,
    store: Option<SocketAddr>,
}

impl WeightFetcher {
    /// Creates a client of the weight store at `store`. Without one, loads run at the full rate.
    pub(super) fn new(store: Option<SocketAddr>) -> Self {
        WeightFetcher { http: reqwest::Client::new(), store }
    }

    /// Fetches `load`, retrying until it succeeds.
    pub(super) async fn fetch(&self, load: &WeightLoad) {
        let Some(store) = self.store else {
            let seconds = load.bytes() as f64 / LOAD_BYTES_PER_SECOND as f64;
            return tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        };
        let url = format!("http://{store}/v1/loads");
        loop {
            let request = self.http.post(&url).json(&LoadRequest { bytes: load.bytes() });
            match request.send().await.and_then(reqwest::Response::error_for_status) {
                Ok(_) => return,
                Err(error) => log::warn!("event=weight_fetch_failed reason=\"{error}\""),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
