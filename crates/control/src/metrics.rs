//! Prometheus metrics of the control daemon.

use juniper_consensus::Status;
use prometheus::{Encoder, Histogram, HistogramOpts, IntCounter, IntGauge, Registry, TextEncoder};

/// Upper bounds of the buckets for commit time, in seconds.
const COMMIT_BUCKETS: [f64; 12] =
    [0.000_5, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0];

/// Metrics of the control daemon.
pub struct Metrics {
    registry: Registry,
    /// Open connections from other daemons.
    pub connections: IntGauge,
    /// Connections of routers rejected because of the connection limit.
    pub connections_refused: IntCounter,
    /// Failed handshakes.
    pub handshakes_failed: IntCounter,
    /// Subscriptions refused because too many snapshots were in flight.
    pub subscriptions_refused: IntCounter,
    /// Settings snapshots pushed to subscribers.
    pub snapshots_pushed: IntCounter,
    /// Bytes of settings pushed to subscribers.
    pub pushed_bytes: IntCounter,
    /// Latest committed settings revision on this replica.
    pub revision: IntGauge,
    /// 1 while this replica is the leader, otherwise 0.
    pub leader: IntGauge,
    /// Current consensus term.
    pub term: IntGauge,
    /// Last committed log index.
    pub commit_index: IntGauge,
    /// Voters in the membership.
    pub voters: IntGauge,
    /// Learners in the membership.
    pub learners: IntGauge,
    /// Router updates relayed to the routers subscribed to this replica.
    pub relayed: IntCounter,
    /// Router updates dropped by this replica.
    pub relayed_lost: IntCounter,
    /// Streams whose origin this replica knows.
    pub stream_origins: IntGauge,
    /// Heartbeats rejected because they were malformed or came from another writer.
    pub heartbeats_refused: IntCounter,
    /// Departures of servers whose latest incarnation this replica knew from other replicas only.
    pub departures_observed_elsewhere: IntCounter,
    /// Stored claims.
    pub claims: IntGauge,
    /// Time from proposal to answer on the leader, in seconds.
    pub commit_seconds: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help)?);
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help)?);
        let commit = HistogramOpts::new(
            "juniper_control_commit_seconds",
            "Time from proposal to answer on the leader",
        );
        let commit = Histogram::with_opts(commit.buckets(COMMIT_BUCKETS.to_vec()))?;
        Ok(Metrics {
            connections: gauge("juniper_control_connections", "Connections of other daemons")?,
            connections_refused: counter(
                "juniper_control_connections_refused",
                "Connections turned away",
            )?,
            handshakes_failed: counter("juniper_control_handshakes_failed", "Handshakes failed")?,
            subscriptions_refused: counter(
                "juniper_control_subscriptions_refused",
                "Subscriptions turned away for a while",
            )?,
            snapshots_pushed: counter("juniper_control_snapshots_pushed", "Snapshots pushed")?,
            pushed_bytes: counter("juniper_control_pushed_bytes", "Bytes of settings pushed")?,
            revision: gauge("juniper_control_revision", "Latest committed settings revision")?,
            leader: gauge("juniper_control_leader", "1 while this replica leads")?,
            term: gauge("juniper_control_term", "Current term")?,
            commit_index: gauge("juniper_control_commit_index", "Last committed log index")?,
            voters: gauge("juniper_control_voters", "Voters in the membership")?,
            learners: gauge("juniper_control_learners", "Members that don't vote")?,
            relayed: counter("juniper_control_relayed", "Messages of routers passed on")?,
            relayed_lost: counter("juniper_control_relayed_lost", "Messages of routers lost")?,
            stream_origins: gauge(
                "juniper_control_stream_origins",
                "Streams whose origin is known",
            )?,
            heartbeats_refused: counter(
                "juniper_control_heartbeats_refused",
                "Heartbeats that named no server",
            )?,
            departures_observed_elsewhere: counter(
                "juniper_control_departures_observed_elsewhere",
                "Departures of incarnations that only other replicas observed",
            )?,
            claims: gauge("juniper_control_claims", "Claims kept")?,
            commit_seconds: register(&registry, commit)?,
            registry,
        })
    }

    /// Updates the gauges of the replica's consensus status.
    pub fn set_status(&self, status: &Status) {
        self.leader.set(i64::from(status.is_leader()));
        self.term.set(to_gauge(status.term));
        self.commit_index.set(to_gauge(status.commit));
        let voters = status.membership.voters().count();
        self.voters.set(to_gauge(voters as u64));
        self.learners.set(to_gauge((status.membership.members.len() - voters) as u64));
    }

    /// Encodes all metrics in Prometheus text format.
    pub fn encode_text(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// Converts `value` for a gauge, saturating at the largest value.
pub fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn register<C>(registry: &Registry, collector: C) -> Result<C, prometheus::Error>
where
    C: prometheus::core::Collector + Clone + 'static,
{
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}
