//! Model of the platform's list of machines, which lags behind the actual state.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use juniper_types::{Timestamp, ZoneName};
use serde::{Deserialize, Serialize};

/// Default lag of the list.
pub const LIST_LAG: Duration = Duration::from_secs(5);

/// Lifecycle state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// Announced for removal.
    Leaving,
    /// Removed from the list.
    Gone,
}

/// List entry of one machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Network address.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Lifecycle state.
    pub state: MachineState,
}

/// Visible list and changes that are not visible yet.
#[derive(Clone, Debug)]
pub struct PlatformList {
    lag: Duration,
    visible: BTreeMap<SocketAddr, Machine>,
    pending: VecDeque<(Timestamp, Machine)>,
}

impl PlatformList {
    /// Creates an empty list that lags by `lag`.
    pub fn new(lag: Duration) -> Self {
        PlatformList { lag, visible: BTreeMap::new(), pending: VecDeque::new() }
    }

    /// Records the state of a machine at `now`; the list shows the change after the lag.
    pub fn record(&mut self, machine: Machine, now: Timestamp) {
        self.pending.push_back((now.after(self.lag), machine));
    }

    /// Returns the list visible at `now` and the time of the state that it shows.
    pub fn read(&mut self, now: Timestamp) -> (Timestamp, Vec<Machine>) {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, machine)) = self.pending.pop_front() else { break };
            match machine.state {
                MachineState::Gone => self.visible.remove(&machine.address),
                MachineState::Live | MachineState::Leaving => {
                    self.visible.insert(machine.address, machine)
                }
            };
        }
        (now.before(self.lag).max(Timestamp::ZERO), self.visible.values().cloned().collect())
    }
}
