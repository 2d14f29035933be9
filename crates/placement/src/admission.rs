//! Whether a prompt is sent at all, by what waits at the servers already.
//!
//! What waits at a server holds memory that kept parts would need, so that more is read again, and a
//! server that reads without a break makes its streams pause. Beyond some wait each further prompt
//! costs others more than it can earn itself: what is served in time falls while more is offered. So
//! a prompt that can't begin well within its time is refused before it is sent, the least urgent first.

use std::time::Duration;

/// Part of the time that is left within which a most urgent prompt has to begin. Routers hear late of
/// what the others send, so what is expected at half the time is late at times.
const MAX_FIRST_OUTPUT: f64 = 0.5;

/// The same for less urgent ones, which leave room to the urgent ones by it.
const MAX_FIRST_OUTPUT_LESS_URGENT: f64 = 0.4;

/// Wait at the chosen server, relative to that limit, from which a prompt that begins later is
/// refused. Below it the prompt's own reading takes the time, and refusing would serve nobody.
const LONG_WAIT: f64 = 1.0;

/// Wait at three quarters of the servers, relative to that limit, from which the service is short of
/// servers. A long prompt is then refused even where little waits: it would be the next to make others
/// wait.
const SCARCE_WAIT: f64 = 0.15;

/// What is expected of a prompt at the server that costs least, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// Time to its first output.
    pub first_output_ms: f64,
    /// Time of that for which it waits behind others.
    pub wait_ms: f64,
}

/// Why a prompt is refused: the beliefs that led to it, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// What was expected of it.
    pub prospect: Prospect,
    /// Time for which a prompt would wait at least at three quarters of the servers.
    pub least_waits_ms: f64,
    /// Time within which it had to begin.
    pub limit_ms: f64,
}

impl Overload {
    /// Time by which too much waits.
    pub fn excess(&self) -> Duration {
        let excess_ms = (self.prospect.first_output_ms - self.limit_ms).max(0.0);
        Duration::from_secs_f64(excess_ms / 1_000.0)
    }
}

impl Prospect {
    /// Why a prompt of this rank, 0 for the most urgent, isn't sent. `least_waits_ms` is only asked for
    /// if it matters: it looks at every server.
    pub fn overload(
        self,
        rank: u8,
        time_left: Duration,
        least_waits_ms: impl FnOnce() -> f64,
    ) -> Option<Overload> {
        let part = if rank == 0 { MAX_FIRST_OUTPUT } else { MAX_FIRST_OUTPUT_LESS_URGENT };
        let limit_ms = time_left.as_secs_f64() * 1_000.0 * part;
        if self.first_output_ms <= limit_ms {
            return None;
        }
        let least_waits_ms = least_waits_ms();
        let waits_long = self.wait_ms > limit_ms * LONG_WAIT;
        let is_scarce = least_waits_ms > limit_ms * SCARCE_WAIT;
        (waits_long || is_scarce).then_some(Overload { prospect: self, least_waits_ms, limit_ms })
    }
}
