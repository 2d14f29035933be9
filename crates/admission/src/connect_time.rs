//! Time that connections to servers take, over all servers.
//!
//! Where connections to all servers take long, packets wait on the router's own link or for its own
//! processor. Then a time-out shows nothing of one server, and a longer one gets the connection.

use std::time::Duration;

use juniper_types::Timestamp;

/// Timeout for opening a connection while connections take as long as usual: many round trips
/// between zones.
const USUAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest timeout.
const MAX_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Timeout relative to the average time of recent connections.
const TIMEOUT_FACTOR: u32 = 4;

/// Weight of the latest connection in the average.
const LATEST_WEIGHT: f64 = 0.5;

/// Average time from which packets of this router wait.
const SLOW_TIME: Duration = Duration::from_millis(40);

/// Time after the latest connection for which the average holds. A router that has reached no server
/// for longer may be partitioned.
const VALIDITY: Duration = Duration::from_secs(2);

/// Average time of recent connections to servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimes {
    average: Duration,
    recorded_at: Timestamp,
}

impl ConnectTimes {
    /// Records a connection that was opened within `time`.
    pub fn record(&mut self, time: Duration, now: Timestamp) {
        let before = self.average(now);
        self.average = before.mul_f64(1.0 - LATEST_WEIGHT) + time.mul_f64(LATEST_WEIGHT);
        self.recorded_at = now;
    }

    /// Records a time-out. While connections to all servers take long, the next ones get more time.
    pub fn record_timeout(&mut self, time: Duration, now: Timestamp) {
        if self.is_slow(now) {
            self.record(time, now);
        }
    }

    /// Timeout for opening a connection.
    pub fn timeout(&self, now: Timestamp) -> Duration {
        (self.average(now) * TIMEOUT_FACTOR).clamp(USUAL_TIMEOUT, MAX_TIMEOUT)
    }

    /// Whether connections to all servers take long, so that a time-out shows nothing of one server.
    pub fn is_slow(&self, now: Timestamp) -> bool {
        self.average(now) > SLOW_TIME
    }

    fn average(&self, now: Timestamp) -> Duration {
        match now.since(self.recorded_at) < VALIDITY {
            true => self.average,
            false => Duration::ZERO,
        }
    }
}
