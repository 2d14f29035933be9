//! Orders to engines, recorded before they are sent.
//!
//! A leader sends an order only after the log has assigned it a fencing token. The token
//! counter is part of the state, so that tokens increase across leaders, and an engine
//! that has accepted an order rejects earlier ones. A suspended or partitioned leader can't
//! record orders; it can only resend a recorded one, which takes effect once.
//!
//! The limit on concurrent loads from the weight store also holds across leaders. A load
//! acquires a slot when it is recorded and releases the slot only with a proof that it
//! has ended. A missing reply is no proof, since a partitioned engine may still be loading.

use std::collections::BTreeMap;

use juniper_types::{AdapterName, EngineId, Incarnation, ModelName, WeightsVersion};
use minicbor::{Decode, Encode};

/// Action that an engine is ordered to perform.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OrderAction {
    /// Loads a model, replacing the loaded one.
    #[n(0)]
    LoadModel {
        /// Name of the model.
        #[n(0)]
        model: ModelName,
        /// Version of the weights.
        #[n(1)]
        weights: WeightsVersion,
    },
    /// Loads an adapter in addition to the model.
    #[n(1)]
    LoadAdapter {
        /// Name of the adapter.
        #[n(0)]
        adapter: AdapterName,
    },
    /// Unloads an adapter.
    #[n(2)]
    UnloadAdapter {
        /// Name of the adapter.
        #[n(0)]
        adapter: AdapterName,
    },
}

impl OrderAction {
    /// Whether the action loads from the weight store and counts towards its load limit.
    pub fn is_load(&self) -> bool {
        !matches!(self, OrderAction::UnloadAdapter { .. })
    }
}

/// Order that may be in flight.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ActiveOrder {
    /// Fencing token of the order.
    #[n(0)]
    pub token: u64,
    /// Incarnation of the engine for which the order is valid.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Ordered action.
    #[n(2)]
    pub action: OrderAction,
}

/// Proof that an order is no longer in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum EndProof {
    /// The engine reported that it has executed the order.
    #[n(0)]
    Done,
    /// The engine is running as another incarnation.
    #[n(1)]
    NewIncarnation,
    /// The platform or an operator reported that the machine was removed.
    #[n(2)]
    MachineRemoved,
}

/// Answer to the recording of an order or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OrderAnswer {
    /// The order is recorded and may be sent and resent with this token.
    #[n(0)]
    Recorded(#[n(0)] u64),
    /// Another order to the engine, with this token, may be in flight.
    #[n(1)]
    Busy(#[n(0)] u64),
    /// The limit on concurrent loads from the weight store is reached.
    #[n(2)]
    LimitReached,
    /// The order has ended, now or earlier.
    #[n(3)]
    Ended,
}

/// Orders that may be in flight, at most one per engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct OrderBook(#[n(0)] BTreeMap<EngineId, ActiveOrder>);

impl OrderBook {
    /// Order to `engine` that may be in flight.
    pub fn active(&self, engine: EngineId) -> Option<&ActiveOrder> {
        self.0.get(&engine)
    }

    /// All orders that may be in flight.
    pub fn orders(&self) -> impl Iterator<Item = (EngineId, &ActiveOrder)> {
        self.0.iter().map(|(engine, order)| (*engine, order))
    }

    /// Number of loads from the weight store that may be in flight.
    pub fn loads(&self) -> usize {
        self.0.values().filter(|order| order.action.is_load()).count()
    }

    /// Records `order` unless another order to the engine or `limit` loads are in flight.
    /// The same order recorded again, after a lost answer, keeps its token.
    pub(crate) fn begin(
        &mut self,
        engine: EngineId,
        order: ActiveOrder,
        limit: u32,
    ) -> OrderAnswer {
        if let Some(known) = self.0.get(&engine) {
            let same = known.incarnation == order.incarnation && known.action == order.action;
            return match same {
                true => OrderAnswer::Recorded(known.token),
                false => OrderAnswer::Busy(known.token),
            };
        }
        if order.action.is_load() && self.loads() >= limit as usize {
            return OrderAnswer::LimitReached;
        }
        let token = order.token;
        self.0.insert(engine, order);
        OrderAnswer::Recorded(token)
    }

    /// Removes the order with `token`. An order recorded later is unaffected.
    pub(crate) fn end(&mut self, engine: EngineId, token: u64) -> OrderAnswer {
        match self.0.get(&engine) {
            Some(known) if known.token > token => OrderAnswer::Busy(known.token),
            Some(known) if known.token == token => {
                self.0.remove(&engine);
                OrderAnswer::Ended
            }
            _ => OrderAnswer::Ended,
        }
    }
}
