//! Phases of overload of a service, as one router sees them.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Time without refusals after which a phase has ended. A router refuses a few requests per second
/// in a phase; with 1.2 s, phases appeared to end too early.
const CALM_TIME: Duration = Duration::from_millis(1_800);

/// Refusals in ended phases from which on their duration is used.
const MIN_REFUSALS: f64 = 3.0;

/// Factor on the usual duration. With 1.0, a quarter of the callers return in the last moments of a
/// phase and are refused again.
const DURATION_MARGIN: f64 = 1.2;

/// Half-life of the weight of ended phases: several waves.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// A phase in which requests were refused.
#[derive(Clone, Copy, Debug)]
struct Phase {
    started_at: Timestamp,
    last_refused_at: Timestamp,
    refusals: u32,
    /// Whether the router saw the service before the phase.
    is_complete: bool,
}

/// Phases of overload of a service at one router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phases {
    current: Option<Phase>,
    /// Refusals in ended phases.
    refusals: Decaying,
    /// Sum of the durations of the phases of these refusals, in seconds.
    durations_s: Decaying,
}

impl Default for Phases {
    fn default() -> Self {
        Phases {
            current: None,
            refusals: Decaying::new(HALF_LIFE),
            durations_s: Decaying::new(HALF_LIFE),
        }
    }
}

impl Phases {
    /// Records a refusal by a router that has seen the service's requests since `seen_since`, and
    /// returns the time in which the phase is expected to end; `None` if no
    /// earlier phase is known. Assumed durations of 1 to 2 s broke a third of the promises made in
    /// the first phase.
    pub(crate) fn record_refusal(
        &mut self,
        seen_since: Timestamp,
        now: Timestamp,
    ) -> Option<Duration> {
        if let Some(phase) = self.current
            && now.since(phase.last_refused_at) > CALM_TIME
        {
            self.current = None;
            // A router that started in a phase doesn't know its duration.
            if phase.is_complete {
                let refusals = f64::from(phase.refusals);
                let duration_s = phase.last_refused_at.since(phase.started_at).as_secs_f64();
                self.refusals.add(refusals, now);
                self.durations_s.add(refusals * duration_s, now);
            }
        }
        let is_complete = now.since(seen_since) > CALM_TIME;
        let new = Phase { started_at: now, last_refused_at: now, refusals: 0, is_complete };
        let phase = self.current.get_or_insert(new);
        phase.last_refused_at = now;
        phase.refusals = phase.refusals.saturating_add(1);
        let elapsed = now.since(phase.started_at);
        let usual = self.usual_duration(now)?;
        match elapsed < usual {
            true => Some(usual - elapsed),
            // A phase that lasts longer than usual is expected to go on for as long as it has
            // lasted.
            false => Some(elapsed),
        }
    }

    /// Mean duration of the phases in which requests were refused, with a margin.
    fn usual_duration(&self, now: Timestamp) -> Option<Duration> {
        let refusals = self.refusals.at(now);
        if refusals < MIN_REFUSALS {
            return None;
        }
        let mean_s = self.durations_s.at(now) / refusals;
        Some(Duration::from_secs_f64(mean_s.max(0.0) * DURATION_MARGIN))
    }
}
