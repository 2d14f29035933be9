//! Limit on concurrent calls without prompts, derived from latency.

use std::time::Duration;

/// Latency relative to the least from which a server counts as saturated. Below, variation of
/// processing times and the network explain the difference.
const SATURATED_FACTOR: f64 = 1.5;

/// Weight of a sample in the limit.
const LIMIT_WEIGHT: f64 = 0.05;

/// Weight of a sample above the least latency, so that the least latency follows a service that
/// has become slower.
const LATENCY_WEIGHT: f64 = 0.002;

/// Weight of a sample below the least latency. A single fast error answer mustn't determine it.
const LOWER_LATENCY_WEIGHT: f64 = 0.2;

/// Bounds of the limit relative to the slots that the server reports.
const LIMIT_RANGE: (f64, f64) = (0.5, 2.0);

/// Fewest samples from which calls may be refused. Few, as a restarted router admits everything
/// until then: with 20, 24 routers queued 480 calls at six servers.
const MIN_SAMPLES: u32 = 5;

/// Shares of the remaining time within which an answer must be expected, drawn for each call.
/// Dispatch reports arrive 15 to 60 ms late: with a single share, all routers send until the reports
/// arrive and then all refuse. At three times the load of six servers with six slots, 543 calls per
/// second were then in time, of 600 that the servers can process (24 routers).
const USABLE_TIME_SHARES: (f64, f64) = (0.3, 0.7);

/// Calls at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerCalls {
    /// Calls in flight of all routers.
    pub in_flight: f64,
    /// Calls that the server says it processes concurrently; zero if unknown.
    pub slots: u32,
}

/// Why a call isn't admitted: every server is above its limit, and the answer would be too late.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("an answer is expected in {expected:?}, with {in_flight:.0} calls of {limit:.1} in flight")]
pub struct CallOverload {
    /// Time to the answer at the least loaded server.
    pub expected: Duration,
    /// Time within which the answer must be expected.
    pub time_limit: Duration,
    /// Calls in flight at the least loaded server.
    pub in_flight: f64,
    /// Its limit.
    pub limit: f64,
}

/// Number of concurrent calls up to which the latency of a service's servers stays flat.
///
/// A saturated server completes `in flight / latency` calls per second, with which the least
/// latency gives the number of calls that it really processes concurrently.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Latency of a server that isn't saturated, in milliseconds; zero if unknown.
    least_ms: f64,
    /// Calls processed concurrently relative to the reported slots; zero if unknown.
    slot_factor: f64,
    samples: u32,
}

impl ConcurrencyLimit {
    /// Records an answer that took `latency`, of a call with which `server.in_flight` calls were in
    /// flight.
    pub fn record(&mut self, server: ServerCalls, latency: Duration) {
        if server.slots == 0 {
            return;
        }
        let latency_ms = (latency.as_secs_f64() * 1_000.0).max(0.1);
        let in_flight = server.in_flight.max(1.0);
        self.samples = self.samples.saturating_add(1);
        let is_saturated_by_slots = in_flight > f64::from(server.slots);
        if self.least_ms == 0.0 {
            // The first answers may come from saturated servers.
            let queue_factor = (in_flight / f64::from(server.slots)).max(1.0);
            (self.least_ms, self.slot_factor) = (latency_ms / queue_factor, 1.0);
        }
        let weight = match latency_ms < self.least_ms {
            true => LOWER_LATENCY_WEIGHT,
            false if is_saturated_by_slots => 0.0,
            false => LATENCY_WEIGHT,
        };
        self.least_ms += weight * (latency_ms - self.least_ms);
        let processed = in_flight * (self.least_ms / latency_ms).min(1.0);
        let factor = processed / f64::from(server.slots);
        // A slow answer with few calls in flight is due to the server's speed, and a fast one doesn't
        // tell how many more calls there could be.
        let is_full = in_flight >= self.slot_factor * f64::from(server.slots);
        let is_saturated = is_full && latency_ms > self.least_ms * SATURATED_FACTOR;
        if is_saturated || factor > self.slot_factor {
            let slot_factor = self.slot_factor + LIMIT_WEIGHT * (factor - self.slot_factor);
            self.slot_factor = slot_factor.clamp(LIMIT_RANGE.0, LIMIT_RANGE.1);
        }
    }

    /// Limit of a server with this number of slots; infinite while it is unknown.
    pub fn limit(&self, slots: u32) -> f64 {
        match slots == 0 || self.samples < MIN_SAMPLES {
            true => f64::INFINITY,
            false => (f64::from(slots) * self.slot_factor).max(1.0),
        }
    }

    /// Number of further calls that the server can answer within `time_left`; the number of its
    /// slots while its limit is unknown.
    pub fn room(&self, server: ServerCalls, time_left: Duration) -> f64 {
        let limit = self.limit(server.slots);
        if limit.is_infinite() {
            return f64::from(server.slots.max(1));
        }
        let usable_ms = time_left.as_secs_f64() * 1_000.0 * USABLE_TIME_SHARES.1;
        let in_time = limit * (usable_ms / self.least_ms.max(0.1)).max(1.0);
        (in_time - server.in_flight).max(0.0)
    }

    /// Decides on a call that would be sent to one of `servers`. `draw` is a random number from 0 to 1.
    ///
    /// # Errors
    /// Returns the expected answer if every server is above its limit and the answer of the least
    /// loaded one is expected too late.
    pub fn decide(
        &self,
        servers: impl Iterator<Item = ServerCalls>,
        time_left: Duration,
        draw: f64,
    ) -> Result<(), CallOverload> {
        let loads = servers.map(|server| (server.in_flight, self.limit(server.slots)));
        let load = |(in_flight, limit): &(f64, f64)| (in_flight + 1.0) / limit;
        let least = loads.min_by(|one, other| load(one).total_cmp(&load(other)));
        let Some((in_flight, limit)) = least else { return Ok(()) };
        let load = load(&(in_flight, limit));
        let expected = Duration::from_secs_f64(self.least_ms * load.max(1.0) / 1_000.0);
        let (least, most) = USABLE_TIME_SHARES;
        let time_limit = time_left.mul_f64(least + draw * (most - least));
        match load > 1.0 && expected > time_limit {
            true => Err(CallOverload { expected, time_limit, in_flight, limit }),
            false => Ok(()),
        }
    }
}
