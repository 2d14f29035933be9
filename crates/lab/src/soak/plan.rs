//! Which faults a soak makes, and when. Pure: a seed goes in, a plan comes out.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Part of the time, at its end, in which everything is mended.
const CALM_END: f64 = 0.2;

/// Shortest and longest pause before a fault, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 400..3_000;

/// Shortest and longest fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..4_000;

/// Part of the fleet that has at most one fault at a time. Parts fail independently,
/// so that faults of several parts come together.
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

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// `kill -9`; started again at the end.
    Kill,
    /// SIGTERM; has to end well, and is started again at the end.
    PlannedStop,
    /// Stands still until the end.
    Freeze,
    /// The last zone is cut off.
    Cut,
    /// Only answers are lost between the last zone and the others.
    AnswersLost,
}

/// A fault with its time and place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// When it ends.
    pub until: Duration,
    /// Where.
    pub part: Part,
    /// Number of the process within its part, from zero.
    pub place: usize,
    /// What.
    pub fault: Fault,
}

/// How many processes each part has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSizes {
    /// Engines.
    pub engines: usize,
    /// Routers.
    pub routers: usize,
    /// Control replicas; with fewer than three none of them fails.
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

    /// Fewest processes of which one may fail.
    const fn least(self) -> usize {
        match self {
            Part::Control => 3,
            Part::Engines | Part::Routers => 2,
            Part::Links => 1,
        }
    }
}

/// Draws the faults of a soak that takes `duration`, in order of their beginning.
pub fn draw(seed: u64, duration: Duration, sizes: PartSizes) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = duration.mul_f64(1.0 - CALM_END);
    let mut plan = Vec::new();
    for part in Part::ALL.into_iter().filter(|part| part.size(sizes) >= part.least()) {
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
