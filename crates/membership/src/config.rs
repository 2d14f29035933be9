//! Configuration of the failure detector.

use std::time::Duration;

/// Timing and message sizes of one detector.
#[derive(Clone, Debug)]
pub struct DetectorConfig {
    /// Interval between the probes of this node.
    pub probe_interval: Duration,
    /// Time after which an unacknowledged probe is followed by indirect probes.
    pub probe_timeout: Duration,
    /// Number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time within which a suspected member can refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Maximum number of updates in a message.
    pub updates_per_message: usize,
    /// Maximum number of updates in a message of the complete member list; sized to fit into a
    /// datagram.
    pub updates_per_list_message: usize,
    /// Number of consecutive acknowledgements with a differing digest after which the complete
    /// member list is requested. Gossip alone takes minutes when hundreds of nodes join together.
    pub differing_until_list_request: u32,
    /// Number of consecutive acknowledgements with the same digest after which queued updates are
    /// dropped as known to all.
    pub agreeing_until_gossip_cleared: u32,
    /// Factor on the logarithm of the group's size that gives how often each update is sent.
    pub retransmit_factor: u32,
    /// Average number of probes between two attempts to contact a dead member or an absent seed.
    pub rejoin_interval_probes: u32,
    /// Time for which a dead member is kept in the table, so that outdated updates can't revive it.
    pub dead_retention: Duration,
}

impl Default for DetectorConfig {
    /// Detects a crash after about 1.5 probe intervals on average and declares the member dead
    /// after the suspicion timeout: about 4.5 s in total, which is shorter than engines take to reload
    /// weights and longer than a stall of one second.
    fn default() -> Self {
        DetectorConfig {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(3),
            updates_per_message: 6,
            updates_per_list_message: 20,
            differing_until_list_request: 3,
            agreeing_until_gossip_cleared: 3,
            retransmit_factor: 3,
            rejoin_interval_probes: 10,
            dead_retention: Duration::from_secs(600),
        }
    }
}
