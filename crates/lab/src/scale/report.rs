//! Report of one run.

use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Average resource usage per process or node of one role.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct RoleCost {
    /// Number of processes or nodes.
    pub(super) count: usize,
    /// CPU usage of each, in percent of one core.
    pub(super) core_percent: f64,
    /// Resident memory of each, in bytes.
    pub(super) resident_bytes: u64,
    /// Control bytes sent and received by each, per second.
    pub(super) control_bytes_per_second: f64,
    /// Control bytes sent by each, per second.
    pub(super) control_bytes_sent_per_second: f64,
    /// Lookup bytes sent and received by each, per second.
    pub(super) lookup_bytes_per_second: f64,
}

/// Percentiles of the accepted-to-in-force time over all nodes and changes of a phase.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct InForceTimes {
    /// Number of samples, one for each node and change.
    pub(super) samples: u64,
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
    pub(super) max_ms: f64,
}

impl InForceTimes {
    /// Summarises a histogram of microseconds.
    pub(super) fn of(micros: &Histogram<u64>) -> Self {
        let at = |quantile| micros.value_at_quantile(quantile) as f64 / 1_000.0;
        InForceTimes {
            samples: micros.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: micros.max() as f64 / 1_000.0,
        }
    }
}

/// Report of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Report {
    pub(super) nodes: usize,
    pub(super) engines: usize,
    pub(super) zones: usize,
    pub(super) tenants: usize,
    pub(super) hollow_node: RoleCost,
    pub(super) router: RoleCost,
    pub(super) control_replica: RoleCost,
    /// Average number of sampled index entries in a hollow node, published and owned.
    pub(super) sampled_keys_per_node: f64,
    /// Share of lookups that found the engine with the cached prompt.
    pub(super) lookups_found: f64,
    pub(super) in_force_quiet: InForceTimes,
    /// In-force times while a tenth of the nodes restarts.
    pub(super) in_force_restarts: InForceTimes,
    /// Time from the restart of a tenth of the nodes until every node is at the
    /// latest revision and knows all members, in milliseconds.
    pub(super) restart_recovery_ms: u64,
    pub(super) in_force_outside_cut: InForceTimes,
    /// Time from the end of the partition until every node is at the latest
    /// revision and knows all members, in milliseconds.
    pub(super) cut_recovery_ms: u64,
    /// Resident memory of all processes at the end of the run, in bytes.
    pub(super) resident_bytes_total: u64,
    pub(super) processes: usize,
}

impl Report {
    /// Serializes the report as one line of JSON.
    ///
    /// # Errors
    /// Never fails in practice, since all fields are serializable.
    pub(super) fn json(&self) -> Result<String, super::fleet::ScaleError> {
        Ok(serde_json::to_string(self)?)
    }
}

const MEBIBYTE: f64 = (1 << 20) as f64;

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} nodes, {} engines, {} zones, {} tenants, {} processes, {:.0} MiB in all",
            self.nodes,
            self.engines,
            self.zones,
            self.tenants,
            self.processes,
            self.resident_bytes_total as f64 / MEBIBYTE
        )?;
        let roles = [
            ("hollow node", &self.hollow_node),
            ("router", &self.router),
            ("control replica", &self.control_replica),
        ];
        for (name, cost) in roles {
            writeln!(
                formatter,
                "{name:16} {:4}  {:6.2}% of a core  {:7.1} MiB  {:6.0} control bytes/s ({:.0} sent)  \
                 {:6.0} lookup bytes/s",
                cost.count,
                cost.core_percent,
                cost.resident_bytes as f64 / MEBIBYTE,
                cost.control_bytes_per_second,
                cost.control_bytes_sent_per_second,
                cost.lookup_bytes_per_second
            )?;
        }
        let phases = [
            ("quiet", &self.in_force_quiet),
            ("a tenth restarts", &self.in_force_restarts),
            ("a zone is cut", &self.in_force_outside_cut),
        ];
        for (name, times) in phases {
            writeln!(
                formatter,
                "in force, {name:17} p50 {:7.1} ms  p99 {:7.1} ms  max {:7.1} ms  ({} samples)",
                times.p50_ms, times.p99_ms, times.max_ms, times.samples
            )?;
        }
        writeln!(
            formatter,
            "recovered after restarts in {} ms, after the cut in {} ms; lookups found {:.3}",
            self.restart_recovery_ms, self.cut_recovery_ms, self.lookups_found
        )
    }
}
