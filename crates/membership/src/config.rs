//! Timing and sizes of the failure detector.

use std::time::Duration;

/// Settings of one detector.
#[derive(Clone, Debug)]
pub struct DetectorConfig {
    /// Time between two probes of this node.
    pub probe_interval: Duration,
    /// Time after which an unanswered probe is handed to other members.
    pub probe_timeout: Duration,
    /// Members asked to probe in this node's place.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute.
    pub suspicion_timeout: Duration,
    /// Updates carried by one message.
    pub updates_per_message: usize,
    /// Updates carried by one message of a whole list; they fill a datagram.
    pub updates_per_list_message: usize,
    /// Acknowledgements in a row whose digest differs after which the whole list
    /// is asked for. Gossip alone takes minutes when hundreds join together.
    pub differing_until_list: u32,
    /// Acknowledgements in a row whose digest agrees after which news that is
    /// still waiting counts as known.
    pub agreeing_until_quiet: u32,
    /// Each update is sent this many times the logarithm of the group's size.
    pub retransmit_factor: u32,
    /// One in this many probes goes with an attempt to reach members that are gone.
    pub rejoin_every: u32,
    /// Time for which a dead member is remembered, so that old news can't revive it.
    pub dead_retention: Duration,
}

impl Default for DetectorConfig {
    /// A crash is noticed after about 1.5 probe intervals on average and taken
    /// for certain after the suspicion timeout: some 4.5 s, well below the time
    /// in which engines reload weights, and long enough for a pause of a second.
    fn default() -> Self {
        DetectorConfig {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(3),
            updates_per_message: 6,
            updates_per_list_message: 20,
            differing_until_list: 3,
            agreeing_until_quiet: 3,
            retransmit_factor: 3,
            rejoin_every: 10,
            dead_retention: Duration::from_secs(600),
        }
    }
}
