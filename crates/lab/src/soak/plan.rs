//! Fault schedule of a soak, a pure function of the seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Fault-free share of the duration, at the end.
const FAULT_FREE_SHARE: f64 = 0.2;

/// Range of pauses before a fault, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 400..3_000;

/// Range of fault durations, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..4_000;

/// Part of the fleet that has at most one fault at a time. Parts fail independently,
/// so that faults of several parts overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The engines.
    Engines,
    /// The routers.
    Routers,
    /// The control replicas.
    Control,
    /// The links between the last zone and the others.
    Links,
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL; the process is restarted at the end.
    Kill,
    /// SIGTERM; the process must exit with success and is restarted at the end.
    PlannedStop,
    /// SIGSTOP; the process resumes at the end.
    Freeze,
    /// Network partition between the last zone and the others.
    Cut,
    /// Only answers are lost between the last zone and the others.
    AnswersLost,
}

/// Scheduled fault of one process or link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start, relative to the start of the plan.
    pub at: Duration,
    /// End, relative to the start of the plan.
    pub until: Duration,
    /// Affected part of the fleet.
    pub part: Part,
    /// Index of the process within the part.
    pub place: usize,
    /// Kind of fault.
    pub fault: Fault,
}

/// Number of processes in each part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSizes {
    /// Number of engines.
    pub engines: usize,
    /// Number of routers.
    pub routers: usize,
    /// Number of control replicas; with fewer than three none of them fails.
    pub control: usize,
}

impl Part {
    const ALL: [Part; 4] = [Part::Engines, Part::Routers, Part::Control, Part::Links];

    const fn faults(self) -> &'static [Fault] {
        match self {
            Part::Engines => &[Fault::Kill, Fault::Freeze],
            Part::Routers => &[Fault::Kill, Fault::PlannedStop, Fault::Freeze],
            Part::Control => &[Fault::Kill, Fault::Freeze],
            Part::Links => &[Fault::Cut, Fault::AnswersLost],
        }
    }

    const fn size(self, sizes: PartSizes) -> usize {
        match self {
            Part::Engines => sizes.engines,
            Part::Routers => sizes.routers,
            Part::Control => sizes.control,
            Part::Links => 1,
        }
    }

    /// Minimum number of processes for one to fail.
    const fn min_size(self) -> usize {
        match self {
            Part::Control => 3,
            Part::Engines | Part::Routers => 2,
            Part::Links => 1,
        }
    }
}

/// Draws the faults of a soak of length `duration`, ordered by start.
pub fn draw(seed: u64, duration: Duration, sizes: PartSizes) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = duration.mul_f64(1.0 - FAULT_FREE_SHARE);
    let mut plan = Vec::new();
    for part in Part::ALL.into_iter().filter(|part| part.size(sizes) >= part.min_size()) {
        let mut now = Duration::ZERO;
        loop {
            let at = now + Duration::from_millis(random.random_range(PAUSE_MS));
            let until = at + Duration::from_millis(random.random_range(FAULT_MS));
            if until > end {
                break;
            }
            let place = random.random_range(0..part.size(sizes));
            let fault = part.faults()[random.random_range(0..part.faults().len())];
            plan.push(PlannedFault { at, until, part, place, fault });
            now = until;
        }
    }
    plan.sort_by_key(|planned| planned.at);
    plan
}
