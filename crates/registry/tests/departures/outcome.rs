//! Planted faults, and what a run has shown.

/// Fault that a run contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A replica takes the incarnation that it has observed itself.
    OwnObservationsOnly,
    /// A replica doesn't ask the server when it started.
    NothingAsked,
    /// A replica records departures whose caller has hung up.
    GoneCallersCount,
    /// A departure covers everything that started until the replica's time of day.
    EverythingUntilNow,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Acknowledged departures.
    pub departures: u64,
    /// Those of an incarnation that no reachable replica had observed.
    pub unknown_to_all: u64,
    /// Acknowledged departures of a server that the replica knows nothing of and whose clock is ahead
    /// by more than its age: not checked.
    pub beyond_clock: u64,
    /// Deregistrations that arrived after their caller had hung up.
    pub of_gone_callers: u64,
    /// Incarnations that were used after an earlier one had departed.
    pub returned: u64,
    /// Routers that went on using an incarnation whose departure was acknowledged.
    pub still_used: u64,
    /// Routers that stopped using an incarnation that had not deregistered.
    pub wrongly_removed: u64,
}

impl Outcome {
    pub fn is_clean(&self) -> bool {
        self.still_used == 0 && self.wrongly_removed == 0
    }

    pub fn add(&mut self, other: &Outcome) {
        self.departures += other.departures;
        self.beyond_clock += other.beyond_clock;
        self.unknown_to_all += other.unknown_to_all;
        self.of_gone_callers += other.of_gone_callers;
        self.returned += other.returned;
        self.still_used += other.still_used;
        self.wrongly_removed += other.wrongly_removed;
    }
}
