//! KV transfers that this router has requested and that are expected to be running.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_types::Timestamp;

/// Number of sources above which idle ones are removed.
const MAX_SOURCES: usize = 1_024;

/// Time at which each source has completed its transfers, by address. A source's transfers run one
/// after another.
#[derive(Clone, Debug, Default)]
pub(crate) struct TransferQueues {
    busy_until: HashMap<SocketAddrV4, Timestamp>,
}

impl TransferQueues {
    /// Records a transfer from `source` that takes `time` once it has started.
    pub(crate) fn add(&mut self, source: SocketAddrV4, time: Duration, now: Timestamp) {
        if self.busy_until.len() >= MAX_SOURCES {
            self.busy_until.retain(|_, until| *until > now);
        }
        let until = self.busy_until.entry(source).or_default();
        *until = (*until).max(now).after(time);
    }

    /// Time until a transfer from `source` can start, in milliseconds.
    pub(crate) fn wait_ms(&self, source: SocketAddrV4, now: Timestamp) -> f64 {
        let until = self.busy_until.get(&source);
        until.map_or(0.0, |until| until.since(now).as_secs_f64() * 1_000.0)
    }
}
