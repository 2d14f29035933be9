//! Complete replicated state and the application of commands.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniper_registry::Departure;
use juniper_settings::SettingsPath;
use juniper_types::{EngineId, Incarnation};

use crate::answer::Answer;
use crate::claims::{ClaimRequest, Claims};
use crate::command::Command;
use crate::fleet::FleetState;
use crate::orders::{ActiveOrder, OrderAction, OrderAnswer, OrderBook};
use crate::settings::SettingsState;

/// Replicated state of the control replicas. Clones are cheap, because large parts are
/// shared and copied on write, so that a snapshot can be encoded while commands are applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    pub(crate) applied: u64,
    pub(crate) settings: Arc<SettingsState>,
    pub(crate) claims: Claims,
    pub(crate) fences: BTreeMap<EngineId, u64>,
    pub(crate) last_fence: u64,
    pub(crate) orders: OrderBook,
    pub(crate) fleet: Arc<FleetState>,
}

impl ControlState {
    /// Log index of the last applied command; 0 before the first.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Settings tree with its history.
    pub fn settings(&self) -> &SettingsState {
        &self.settings
    }

    /// Claims of at-most-once requests.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Latest fencing token drawn for an engine.
    pub fn fence(&self, engine: EngineId) -> Option<u64> {
        self.fences.get(&engine).copied()
    }

    /// Applies the command at log index `index`. Commands must be applied in log order. The
    /// effect depends only on the state and the command.
    pub fn apply(&mut self, index: u64, command: Command) -> Answer {
        self.applied = index;
        match command {
            Command::ChangeSettings { header, change } => {
                Answer::Write(Arc::make_mut(&mut self.settings).change(header, &change))
            }
            Command::Rollback { header, to } => {
                Answer::Write(Arc::make_mut(&mut self.settings).rollback(header, to))
            }
            Command::Claim { tenant, key, fingerprint, attempt, now } => {
                self.claims.claim(ClaimRequest { tenant, key, fingerprint, attempt, now })
            }
            Command::Settle { tenant, key, attempt, outcome } => {
                Answer::Settle(self.claims.settle(tenant, key, attempt, outcome))
            }
            Command::AdvanceHorizon { to } => Answer::Horizon(self.claims.advance_horizon(to)),
            Command::NextFence { engine } => Answer::Fence(self.next_fence(engine)),
            Command::BeginOrder { engine, incarnation, action } => {
                Answer::Order(self.begin_order(engine, incarnation, action))
            }
            Command::EndOrder { engine, token, .. } => {
                Answer::Order(self.orders.end(engine, token))
            }
            Command::PutCatalog { catalog } => {
                Answer::Catalog(self.fleet_mut().put_catalog(index, catalog))
            }
            Command::SetTargetWeights { model, version } => {
                Answer::Weights(self.fleet_mut().set_target_weights(index, model, version))
            }
            Command::RecordDeparture { instance, through, at } => {
                let departure = Departure { name: instance, through };
                if !self.fleet.departures().covers(&departure) {
                    self.fleet_mut().record_departure(index, departure, at);
                }
                Answer::Departed
            }
            Command::Quarantine { request } => {
                self.fleet_mut().quarantine_request(index, request);
                Answer::Recorded
            }
            Command::Release { request } => {
                self.fleet_mut().release_request(index, &request);
                Answer::Recorded
            }
            Command::TakeOrderLease { node } => {
                self.last_fence += 1;
                let token = self.last_fence;
                Answer::OrderLease(self.fleet_mut().take_order_lease(node, token))
            }
        }
    }

    /// State of the fleet of generic services.
    pub fn fleet(&self) -> &Arc<FleetState> {
        &self.fleet
    }

    fn fleet_mut(&mut self) -> &mut FleetState {
        Arc::make_mut(&mut self.fleet)
    }

    /// Orders that may be in flight.
    pub fn orders(&self) -> &OrderBook {
        &self.orders
    }

    /// Maximum number of concurrent loads from the weight store, according to the settings.
    pub fn load_limit(&self) -> u32 {
        let root = self.settings.tree().tree().effective(&SettingsPath::Root);
        root.weight_loads_at_once
    }

    fn begin_order(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
        action: OrderAction,
    ) -> OrderAnswer {
        let token = self.last_fence + 1;
        let order = ActiveOrder { token, incarnation, action };
        let answer = self.orders.begin(engine, order, self.load_limit());
        if answer == OrderAnswer::Recorded(token) {
            self.next_fence(engine);
        }
        answer
    }

    /// Draws a token for `engine` from the counter shared by all engines.
    fn next_fence(&mut self, engine: EngineId) -> u64 {
        self.last_fence += 1;
        self.fences.insert(engine, self.last_fence);
        self.last_fence
    }
}
