//! The platform's list of machines: true once, and late.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use juniper_types::{Timestamp, ZoneName};
use serde::{Deserialize, Serialize};

/// How far the list lags behind.
pub const LIST_LAG: Duration = Duration::from_secs(5);

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It stays.
    Live,
    /// It is about to be taken away.
    Leaving,
    /// It is gone; the list no longer has it.
    Gone,
}

/// One machine of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Whether it stays.
    pub state: MachineState,
}

/// The list as it is now and as it is shown.
#[derive(Clone, Debug)]
pub struct PlatformList {
    lag: Duration,
    shown: BTreeMap<SocketAddr, Machine>,
    pending: VecDeque<(Timestamp, Machine)>,
}

impl PlatformList {
    /// An empty list that lags by `lag`.
    pub fn new(lag: Duration) -> Self {
        PlatformList { lag, shown: BTreeMap::new(), pending: VecDeque::new() }
    }

    /// Notes the state of a machine at `now`; the list shows it later.
    pub fn note(&mut self, machine: Machine, now: Timestamp) {
        self.pending.push_back((now.after(self.lag), machine));
    }

    /// The list as it is shown at `now`, and the moment it is true of.
    pub fn read(&mut self, now: Timestamp) -> (Timestamp, Vec<Machine>) {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, machine)) = self.pending.pop_front() else { break };
            match machine.state {
                MachineState::Gone => self.shown.remove(&machine.address),
                MachineState::Live | MachineState::Leaving => {
                    self.shown.insert(machine.address, machine)
                }
            };
        }
        let as_of = now.0.saturating_sub(self.lag.as_micros() as u64);
        (Timestamp(as_of), self.shown.values().cloned().collect())
    }
}
