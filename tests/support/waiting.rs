//! Polls a condition until it holds or a timeout passes.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Timeout of `eventually`.
pub const TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Polls `check` until it returns a value; panics after `TIMEOUT`.
pub async fn eventually<F, T>(what: &str, mut check: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if let Some(value) = check().await {
            return value;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for: {what}");
}
