//! Bound on the retries that all routers together send to one service.

use juniper_placement::RetrySettings;
use juniper_types::Timestamp;

/// What the callers sent and what the servers received.
#[derive(Debug, Default)]
pub struct Record {
    /// Times at which callers sent requests.
    pub requests: Vec<Timestamp>,
    /// Times at which retries arrived at servers.
    pub retries: Vec<Timestamp>,
}

/// The window with the most retries relative to what is allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorstWindow {
    pub start: Timestamp,
    pub retries: usize,
    pub allowed: f64,
}

impl WorstWindow {
    /// Retries relative to what is allowed; above one the bound is broken.
    pub fn usage(&self) -> f64 {
        if self.retries == 0 { 0.0 } else { self.retries as f64 / self.allowed }
    }
}

/// Number of `times`, which are sorted, in a window of the given start and length.
fn count(times: &[Timestamp], start: i64, length: i64) -> usize {
    let before = |limit: i64| times.partition_point(|time| time.0 < limit);
    before(start + length) - before(start)
}

impl Record {
    /// The worst of all windows that begin with a retry. Allowed are the ratio of the requests in
    /// that window, the one before it or the one half a window before it, whichever has most, and
    /// the free retries.
    pub fn worst_window(mut self, settings: &RetrySettings) -> WorstWindow {
        self.requests.sort();
        self.retries.sort();
        let length = settings.window.as_micros() as i64;
        let window = |start: &Timestamp| {
            let begin = start.0;
            let earlier = [0, length / 2, length];
            let requests =
                earlier.map(|shift| count(&self.requests, begin - shift, length)).into_iter().max();
            WorstWindow {
                start: *start,
                retries: count(&self.retries, begin, length),
                allowed: settings.ratio * requests.unwrap_or(0) as f64 + settings.free,
            }
        };
        let all = self.retries.iter().map(window);
        all.max_by(|one, other| one.usage().total_cmp(&other.usage())).unwrap_or_default()
    }
}
