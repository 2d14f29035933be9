//! Orders to engines, recorded before they are sent.
//!
//! A leader sends an order only after the log has given it a token. The token
//! counter is part of the state, so tokens grow across leaders, and an engine
//! that has taken a later order refuses an earlier one. A leader that was frozen
//! or cut off can record nothing; what it can still send is an order that was
//! recorded, which takes effect once.
//!
//! The limit on loads from the weight store holds across leaders for the same
//! reason: a load takes a place when it is recorded and gives it back only by
//! proof that it has ended. Silence of an engine proves nothing, since it may be
//! loading on the other side of a cut.

use std::collections::BTreeMap;

use juniper_types::{AdapterName, EngineId, Incarnation, ModelName, WeightsVersion};
use minicbor::{Decode, Encode};

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OrderAction {
    /// Load these weights in place of whatever is loaded.
    #[n(0)]
    LoadModel {
        /// The model.
        #[n(0)]
        model: ModelName,
        /// Version of its weights.
        #[n(1)]
        weights: WeightsVersion,
    },
    /// Load an adapter beside the model.
    #[n(1)]
    LoadAdapter {
        /// The adapter.
        #[n(0)]
        adapter: AdapterName,
    },
    /// Unload an adapter.
    #[n(2)]
    UnloadAdapter {
        /// The adapter.
        #[n(0)]
        adapter: AdapterName,
    },
}

impl OrderAction {
    /// Whether it reads from the weight store, whose loads at once are limited.
    pub fn is_load(&self) -> bool {
        !matches!(self, OrderAction::UnloadAdapter { .. })
    }
}

/// An order that may be under way.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ActiveOrder {
    /// Its fencing token.
    #[n(0)]
    pub token: u64,
    /// Life of the engine that it is meant for.
    #[n(1)]
    pub incarnation: Incarnation,
    /// What is ordered.
    #[n(2)]
    pub action: OrderAction,
}

/// Why an order can't be under way any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum EndProof {
    /// The engine has answered that it took the order and is done with it.
    #[n(0)]
    Done,
    /// The engine answers as another life, which has no part in the order.
    #[n(1)]
    NewLife,
    /// The platform says that the machine is gone, or an operator does.
    #[n(2)]
    MachineGone,
}

/// What the recording of an order came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OrderAnswer {
    /// It is recorded and may be sent with this token, as often as answers get lost.
    #[n(0)]
    Recorded(#[n(0)] u64),
    /// Another order to the engine, with this token, may be under way.
    #[n(1)]
    Busy(#[n(0)] u64),
    /// As many loads as the weight store takes may be under way.
    #[n(2)]
    LimitReached,
    /// The order has ended, now or before.
    #[n(3)]
    Ended,
}

/// Every order that may be under way, at most one for each engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct OrderBook(#[n(0)] BTreeMap<EngineId, ActiveOrder>);

impl OrderBook {
    /// The order to `engine` that may be under way.
    pub fn active(&self, engine: EngineId) -> Option<&ActiveOrder> {
        self.0.get(&engine)
    }

    /// All of them.
    pub fn orders(&self) -> impl Iterator<Item = (EngineId, &ActiveOrder)> {
        self.0.iter().map(|(engine, order)| (*engine, order))
    }

    /// Loads that may be under way.
    pub fn loads(&self) -> usize {
        self.0.values().filter(|order| order.action.is_load()).count()
    }

    /// Records `order` unless the engine is busy or `limit` loads are under way.
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

    /// The order with `token` has ended. An order recorded since is left alone.
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
