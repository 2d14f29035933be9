//! Order dispatcher that obtains fencing tokens through the log and numbers its orders.

use juniper_control_state::{Answer, Command};
use juniper_emulators::engine::orders::{Order, OrderAction, OrderNumber, OrderRefusal};
use juniper_simulation::{Bench, MILLI, Micros, Planted, Reply, Request};
use juniper_types::{EngineId, ModelName, WeightsVersion};

use super::record::{Record, SentOrder};
use super::target::TargetEngine;
use crate::prove::retrying_client::{RetryingClient, TimerEvent};

/// Maximum number of orders per token.
const ORDERS_PER_TOKEN: u64 = 8;

const THINK_TIME: Micros = 500 * MILLI;

/// Fencing token for one engine, with the sequence number of the next order.
#[derive(Clone, Copy, Debug)]
struct HeldToken {
    engine: usize,
    token: u64,
    sequence: u64,
}

/// Simulated order dispatcher.
pub struct SimulatedDispatcher {
    client: usize,
    planted: Option<Planted>,
    requests: RetryingClient,
    /// Pending token request: index in the record, and engine.
    pending_request: Option<(usize, usize)>,
    held: Option<HeldToken>,
    /// Record indexes of the orders sent with the held token.
    sent_orders: Vec<usize>,
    highest_token: u64,
    finishing: bool,
    finished: bool,
}

impl SimulatedDispatcher {
    /// Creates the dispatcher with client number `client`.
    pub fn new(client: usize, planted: Option<Planted>) -> Self {
        SimulatedDispatcher {
            client,
            planted,
            requests: RetryingClient::new(client),
            pending_request: None,
            held: None,
            sent_orders: Vec::new(),
            highest_token: 0,
            finishing: false,
            finished: false,
        }
    }

    /// Schedules the first action.
    pub fn start(&mut self, bench: &mut Bench) {
        self.schedule_next(bench);
    }

    /// Requests the end of the run: the dispatcher obtains one more token and stops.
    pub fn finish(&mut self) {
        self.finishing = true;
        self.held = None;
    }

    /// Whether the final token was obtained.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn schedule_next(&self, bench: &mut Bench) {
        let time = bench.random.between(2 * MILLI, THINK_TIME);
        self.requests.schedule_next(bench, time);
    }

    /// Handles a timer: sends the next order or requests a token.
    pub fn on_timer(
        &mut self,
        bench: &mut Bench,
        token: u64,
        record: &mut Record,
        engines: &[TargetEngine],
    ) {
        if self.requests.on_timer(bench, token) != TimerEvent::ThinkTimeOver || self.finished {
            return;
        }
        match self.held {
            Some(held) if !self.needs_new_token(held, record) => {
                self.send_order(bench, record, engines, held);
                self.schedule_next(bench);
            }
            _ => self.request_token(bench, record, engines.len()),
        }
    }

    /// Whether the token is used up or known to be superseded by a newer one.
    fn needs_new_token(&self, held: HeldToken, record: &Record) -> bool {
        let fenced = |index: &usize| {
            let refusal = record.orders.get(*index).and_then(|sent| sent.refusal);
            matches!(refusal, Some(OrderRefusal::Fenced { newest }) if newest.token > held.token)
        };
        let renumbers = self.planted == Some(Planted::OrderRenumbered);
        held.sequence > ORDERS_PER_TOKEN || (!renumbers && self.sent_orders.iter().any(fenced))
    }

    fn request_token(&mut self, bench: &mut Bench, record: &mut Record, engines: usize) {
        let engine = bench.random.between(0, engines as u64 - 1) as usize;
        let index = record.record_request(self.client);
        if self.planted == Some(Planted::TokenGuessed) && self.highest_token > 0 {
            let token = self.highest_token + 1;
            record.record_token(index, token);
            self.set_held_token(engine, token);
            self.finished = self.finishing;
            return self.schedule_next(bench);
        }
        bench.note(|| format!("dispatcher {} requests a token for engine {engine}", self.client));
        self.pending_request = Some((index, engine));
        let engine = EngineId(engine as u32);
        self.requests.send_new(bench, Request::Propose(Command::NextFence { engine }));
    }

    /// Handles the answer to a token request.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply, record: &mut Record) {
        let Some(Reply::Answer(Answer::Fence(token))) = self.requests.on_reply(bench, token, reply)
        else {
            return;
        };
        let Some((index, engine)) = self.pending_request.take() else { return };
        bench
            .note(|| format!("dispatcher {} holds token {token} for engine {engine}", self.client));
        record.record_token(index, token);
        self.set_held_token(engine, token);
        self.finished = self.finishing;
        self.schedule_next(bench);
    }

    fn set_held_token(&mut self, engine: usize, token: u64) {
        self.highest_token = self.highest_token.max(token);
        self.held = Some(HeldToken { engine, token, sequence: 1 });
        self.sent_orders.clear();
    }

    fn send_order(
        &mut self,
        bench: &mut Bench,
        record: &mut Record,
        engines: &[TargetEngine],
        held: HeldToken,
    ) {
        let Some(engine) = engines.get(held.engine) else { return };
        let number = self
            .renumbered_order(record)
            .unwrap_or(OrderNumber { token: held.token, sequence: held.sequence });
        let model = ModelName::new("base");
        let model = model.unwrap_or_else(|error| unreachable!("a valid name: {error}"));
        let weights = WeightsVersion(record.orders.len() as u32 + 2);
        let order = Order {
            number,
            incarnation: engine.incarnation(),
            action: OrderAction::LoadModel { model, weights },
        };
        bench.note(|| format!("dispatcher {} sends order {number:?}", self.client));
        let sent = SentOrder { dispatcher: self.client, engine: held.engine, order, refusal: None };
        record.orders.push(sent);
        let index = record.orders.len() - 1;
        self.sent_orders.push(index);
        engine.send(bench, index);
        self.held = Some(HeldToken { sequence: held.sequence + 1, ..held });
    }

    /// Planted fault: the number after the one that fenced off the latest refused order.
    fn renumbered_order(&self, record: &Record) -> Option<OrderNumber> {
        if self.planted != Some(Planted::OrderRenumbered) {
            return None;
        }
        let refusals = self.sent_orders.iter().rev().filter_map(|index| record.orders.get(*index));
        let mut fenced = refusals.filter_map(|sent| match sent.refusal {
            Some(OrderRefusal::Fenced { newest }) => Some(newest),
            _ => None,
        });
        let OrderNumber { token, sequence } = fenced.next()?;
        Some(OrderNumber { token, sequence: sequence + 1 })
    }
}
