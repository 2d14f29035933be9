//! Fenced orders: who may change what an engine serves.
//!
//! An order names the incarnation it is meant for and carries a fencing token
//! and a sequence number. The token grows with every new holder of the right to
//! give orders, the sequence number with every order of one holder. An engine
//! refuses an older token (a former holder must not undo what its successor
//! ordered) and an older sequence number (a delayed order must not undo a later
//! one); the same pair again gets the first answer and changes nothing.

use std::collections::BTreeMap;

use juniper_types::{AdapterName, Incarnation, ModelName, Timestamp, WeightsVersion};
use serde::{Deserialize, Serialize};

use super::load::Role;
use super::request::{DropReason, Output, WeightLoad};
use super::{Engine, ModelState, WaitKey, Waiting};
use crate::witness::BreachKind;

/// Position of an order among all orders to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderNumber {
    /// Fencing token of the holder.
    pub token: u64,
    /// Grows with every order of one holder, from 1.
    pub sequence: u64,
}

/// What is ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum OrderAction {
    /// Load these weights in place of whatever is loaded.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Version of its weights.
        weights: WeightsVersion,
    },
    /// Unload the model and empty the cache.
    UnloadModel,
    /// Load an adapter beside the model.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterName,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: AdapterName,
    },
    /// Change role.
    SetRole {
        /// The new role.
        role: Role,
    },
    /// Take no new work after the grace.
    Leave,
    /// Take new work again.
    Return,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token and sequence number.
    #[serde(flatten)]
    pub number: OrderNumber,
    /// Life of the engine that the order is meant for.
    pub incarnation: Incarnation,
    /// What is ordered.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// What an order came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// It is in force.
    Applied,
    /// Weights are being loaded; `GET /v1/load` shows when they serve.
    Loading,
}

/// Answer to an order that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// What the order came to.
    pub state: OrderState,
    /// Whether the order had been taken before and this is the first answer again.
    pub repeated: bool,
}

/// Why an order was refused; nothing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderRefusal {
    /// The engine process is down.
    #[error("the engine is down")]
    Down,
    /// A later order was taken before.
    #[error("an order with token {} and sequence {} was taken before", newest.token, newest.sequence)]
    Fenced {
        /// The latest order taken.
        newest: OrderNumber,
    },
    /// The order is for another life of the engine.
    #[error("the incarnation is {0}")]
    IncarnationMismatch(Incarnation),
}

/// The latest order that an engine has taken. It is kept across crashes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    newest: Option<(OrderNumber, Incarnation, OrderState)>,
}

impl Engine {
    /// Takes `order`, unless a later one was taken before.
    ///
    /// # Errors
    /// Fails when the order is fenced off or meant for another incarnation.
    pub fn order(&mut self, order: &Order, now: Timestamp) -> Result<OrderAnswer, OrderRefusal> {
        self.run_until(now);
        if self.down {
            return Err(OrderRefusal::Down);
        }
        if order.incarnation != self.incarnation {
            return Err(OrderRefusal::IncarnationMismatch(self.incarnation));
        }
        if let Some((newest, incarnation, state)) = self.fence.newest {
            if order.number == newest && incarnation == order.incarnation {
                return Ok(OrderAnswer { state, repeated: true });
            }
            if order.number <= newest {
                return Err(OrderRefusal::Fenced { newest });
            }
        }
        self.witness_order(order.number, now);
        let state = self.apply(&order.action, now);
        self.fence.newest = Some((order.number, order.incarnation, state));
        self.proceed(now);
        Ok(OrderAnswer { state, repeated: false })
    }

    /// Counts an order that took effect out of order, judged apart from the fence.
    fn witness_order(&mut self, number: OrderNumber, now: Timestamp) {
        let applied = self.applied_orders.last().copied();
        if self.applied_orders.contains(&number) {
            self.witness.record(BreachKind::RepeatedOrder, now, format!("{number:?}"));
        } else if applied.is_some_and(|last| number.token < last.token) {
            self.witness.record(BreachKind::StaleOrder, now, format!("{number:?}"));
        }
        self.applied_orders.push(number);
    }

    /// Orders that took effect, in order, over all lives of the engine.
    pub fn applied_orders(&self) -> &[OrderNumber] {
        &self.applied_orders
    }

    fn apply(&mut self, action: &OrderAction, now: Timestamp) -> OrderState {
        match action {
            OrderAction::LoadModel { model, weights } => {
                return self.switch_model(Some((model.clone(), *weights)), now);
            }
            OrderAction::UnloadModel => return self.switch_model(None, now),
            OrderAction::LoadAdapter { adapter } => {
                if self.adapters.contains(adapter) {
                    return OrderState::Applied;
                }
                let load = WeightLoad::Adapter(adapter.clone());
                self.outbox.push(Output::LoadNeeded { at: now, load });
                return OrderState::Loading;
            }
            OrderAction::UnloadAdapter { adapter } => {
                self.adapters.retain(|loaded| loaded != adapter);
                self.drop_waiting_for(adapter, now);
            }
            OrderAction::SetRole { role } => self.role = *role,
            OrderAction::Leave => self.leave(now),
            OrderAction::Return => self.leaving_since = None,
        }
        OrderState::Applied
    }

    fn drop_waiting_for(&mut self, adapter: &AdapterName, now: Timestamp) {
        let (dropped, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, waiting)| waiting.request.scope.adapter.as_ref() == Some(adapter));
        self.waiting = kept;
        let dropped: BTreeMap<WaitKey, Waiting> = dropped;
        for waiting in dropped.values() {
            self.drop_request(&waiting.request, DropReason::WeightsSwitched, false, now);
        }
    }

    fn switch_model(
        &mut self,
        next: Option<(ModelName, WeightsVersion)>,
        now: Timestamp,
    ) -> OrderState {
        if let ModelState::Serving { model, weights } = &self.model
            && next.as_ref().is_some_and(|(m, w)| m == model && w == weights)
        {
            return OrderState::Applied;
        }
        self.drop_waiting(DropReason::WeightsSwitched, now);
        self.model = ModelState::Draining { next };
        OrderState::Loading
    }

    /// Once nothing runs on the old weights: empties the cache and fetches the new ones.
    pub(super) fn finish_draining(&mut self, now: Timestamp) {
        let ModelState::Draining { next } = &self.model else {
            return;
        };
        if !self.running.is_empty() || !self.transfers.is_empty() {
            return;
        }
        let next = next.clone();
        self.cache.evict_all();
        self.publish_change(now);
        self.adapters.clear();
        self.model = match next {
            None => ModelState::Empty,
            Some((model, weights)) => {
                let load = WeightLoad::Model(model.clone(), weights);
                self.outbox.push(Output::LoadNeeded { at: now, load });
                ModelState::Loading { model, weights }
            }
        };
    }

    /// Tells the engine that weights it asked for have arrived. Weights that are
    /// no longer wanted are ignored.
    pub fn complete_load(&mut self, load: &WeightLoad, now: Timestamp) {
        self.run_until(now);
        if self.down {
            return;
        }
        match (load, &self.model) {
            (WeightLoad::Model(model, weights), ModelState::Loading { model: m, weights: w })
                if m == model && w == weights =>
            {
                self.model = ModelState::Serving { model: model.clone(), weights: *weights };
            }
            (WeightLoad::Adapter(adapter), ModelState::Serving { .. })
                if !self.adapters.contains(adapter) =>
            {
                self.adapters.push(adapter.clone());
            }
            _ => {}
        }
        self.proceed(now);
    }

    /// Starts leaving: after the grace no new work is taken.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving_since.get_or_insert(now);
    }
}
