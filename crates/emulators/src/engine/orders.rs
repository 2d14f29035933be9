//! Fenced orders that change what an engine serves.
//!
//! An order names the target incarnation and carries a fencing token and a
//! sequence number. The token increases with every new lease holder, the
//! sequence number with every order of one holder. An engine rejects older
//! tokens, so that a former holder can't revert its successor's orders, and
//! older sequence numbers, so that a delayed order can't revert a later one. A
//! repeated order gets the first answer again and has no effect.

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
    /// Fencing token of the lease holder.
    pub token: u64,
    /// Sequence number among the orders of one holder, from 1.
    pub sequence: u64,
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum OrderAction {
    /// Replace the loaded model, if any.
    LoadModel {
        /// Model to load.
        model: ModelName,
        /// Version of the weights.
        weights: WeightsVersion,
    },
    /// Unload the model and empty the cache.
    UnloadModel,
    /// Load an adapter for the model.
    LoadAdapter {
        /// Adapter name.
        adapter: AdapterName,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Adapter name.
        adapter: AdapterName,
    },
    /// Change the scheduling role.
    SetRole {
        /// New role.
        role: Role,
    },
    /// Depart: reject new work after the grace period.
    Leave,
    /// Cancel the departure and accept new work again.
    Return,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token and sequence number.
    #[serde(flatten)]
    pub number: OrderNumber,
    /// Incarnation that the order is meant for.
    pub incarnation: Incarnation,
    /// Action to apply.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The order is in effect.
    Applied,
    /// The engine is loading weights; `GET /v1/load` shows when they are served.
    Loading,
}

/// Answer to an accepted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Result of the order.
    pub state: OrderState,
    /// Whether the order was accepted before and this repeats the first answer.
    pub repeated: bool,
}

/// Reason for rejecting an order. A rejected order has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderRefusal {
    /// The engine process is down.
    #[error("the engine is down")]
    Down,
    /// The engine has accepted a later order.
    #[error("an order with token {} and sequence {} was taken before", newest.token, newest.sequence)]
    Fenced {
        /// Number of the latest accepted order.
        newest: OrderNumber,
    },
    /// The order names another incarnation of the engine.
    #[error("the incarnation is {0}")]
    IncarnationMismatch(Incarnation),
}

/// Latest order accepted by an engine, persisted across crashes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    newest: Option<(OrderNumber, Incarnation, OrderState)>,
}

impl Engine {
    /// Applies `order` unless a later one was accepted before.
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
        self.check_order_number(order.number, now);
        let state = self.apply_action(&order.action, now);
        self.fence.newest = Some((order.number, order.incarnation, state));
        self.start_ready_work(now);
        Ok(OrderAnswer { state, repeated: false })
    }

    /// Records a breach if an applied order is stale or repeated, independently of the fence.
    fn check_order_number(&mut self, number: OrderNumber, now: Timestamp) {
        let latest = self.applied_orders.last().copied();
        if self.applied_orders.contains(&number) {
            self.witness.record(BreachKind::RepeatedOrder, now, format!("{number:?}"));
        } else if latest.is_some_and(|last| number.token < last.token) {
            self.witness.record(BreachKind::StaleOrder, now, format!("{number:?}"));
        }
        self.applied_orders.push(number);
    }

    /// Numbers of all applied orders over all incarnations, in the order of application.
    pub fn applied_orders(&self) -> &[OrderNumber] {
        &self.applied_orders
    }

    fn apply_action(&mut self, action: &OrderAction, now: Timestamp) -> OrderState {
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
            OrderAction::Return => self.departing_since = None,
        }
        OrderState::Applied
    }

    fn drop_waiting_for(&mut self, adapter: &AdapterName, now: Timestamp) {
        let (dropped, remaining) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, waiting)| waiting.request.scope.adapter.as_ref() == Some(adapter));
        self.waiting = remaining;
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

    /// Empties the cache and requests the new weights once nothing runs on the old ones.
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

    /// Completes the load of requested weights. Weights that are no longer
    /// needed are ignored.
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
        self.start_ready_work(now);
    }

    /// Starts the departure: new work is rejected after the grace period.
    pub fn leave(&mut self, now: Timestamp) {
        self.departing_since.get_or_insert(now);
    }
}
