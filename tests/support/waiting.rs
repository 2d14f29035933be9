//! Waiting for something that takes its time.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Longest wait.
pub const PATIENCE: Duration = Duration::from_secs(60);

const INTERVAL: Duration = Duration::from_millis(30);

/// Waits until `check` holds.
pub async fn eventually<F, T>(what: &str, mut check: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if let Some(value) = check().await {
            return value;
        }
        sleep(INTERVAL).await;
    }
    panic!("waited in vain for: {what}");
}
