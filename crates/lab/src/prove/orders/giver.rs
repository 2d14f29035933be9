//! One that gives orders: draws a fencing token through the log and numbers its orders.

use juniper_control_state::{Answer, Command};
use juniper_emulators::engine::orders::{Order, OrderAction, OrderNumber, OrderRefusal};
use juniper_simulation::{Bench, MILLI, Micros, Planted, Reply, Request};
use juniper_types::{EngineId, ModelName, WeightsVersion};

use super::record::{Record, SentOrder};
use super::target::Target;
use crate::prove::asker::{Asker, Wake};

/// Orders given with one token.
const ORDERS_PER_TOKEN: u64 = 8;

const THINK_TIME: Micros = 500 * MILLI;

/// The right to give orders to one engine.
#[derive(Clone, Copy, Debug)]
struct Held {
    engine: usize,
    token: u64,
    sequence: u64,
}

/// One order-giver.
pub struct Giver {
    client: usize,
    planted: Option<Planted>,
    asker: Asker,
    /// The draw under way: its place in the record and the engine.
    drawing: Option<(usize, usize)>,
    held: Option<Held>,
    /// Places of the orders sent with the token that is held.
    sent: Vec<usize>,
    highest_token: u64,
    finishing: bool,
    finished: bool,
}

impl Giver {
    /// The order-giver that is client number `client`.
    pub fn new(client: usize, planted: Option<Planted>) -> Self {
        Giver {
            client,
            planted,
            asker: Asker::new(client),
            drawing: None,
            held: None,
            sent: Vec::new(),
            highest_token: 0,
            finishing: false,
            finished: false,
        }
    }

    /// Begins.
    pub fn start(&mut self, bench: &mut Bench) {
        self.pause(bench);
    }

    /// Asks for the end: one more token is drawn.
    pub fn finish(&mut self) {
        self.finishing = true;
        self.held = None;
    }

    /// Whether the end is reached.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn pause(&self, bench: &mut Bench) {
        let time = bench.random.between(2 * MILLI, THINK_TIME);
        self.asker.think(bench, time);
    }

    /// A timer is due.
    pub fn on_timer(
        &mut self,
        bench: &mut Bench,
        token: u64,
        record: &mut Record,
        engines: &[Target],
    ) {
        if self.asker.on_timer(bench, token) != Wake::Think || self.finished {
            return;
        }
        match self.held {
            Some(held) if !self.is_over(held, record) => {
                self.give(bench, record, engines, held);
                self.pause(bench);
            }
            _ => self.draw(bench, record, engines.len()),
        }
    }

    /// Whether the token is used up or another holder is known to have followed.
    fn is_over(&self, held: Held, record: &Record) -> bool {
        let fenced = |place: &usize| {
            let refusal = record.orders.get(*place).and_then(|sent| sent.refusal);
            matches!(refusal, Some(OrderRefusal::Fenced { newest }) if newest.token > held.token)
        };
        let renumbers = self.planted == Some(Planted::OrderRenumbered);
        held.sequence > ORDERS_PER_TOKEN || (!renumbers && self.sent.iter().any(fenced))
    }

    fn draw(&mut self, bench: &mut Bench, record: &mut Record, engines: usize) {
        let engine = bench.random.between(0, engines as u64 - 1) as usize;
        let place = record.draw(self.client);
        if self.planted == Some(Planted::TokenGuessed) && self.highest_token > 0 {
            let token = self.highest_token + 1;
            record.drawn(place, token);
            self.hold(engine, token);
            self.finished = self.finishing;
            return self.pause(bench);
        }
        bench.note(|| format!("giver {} draws a token for engine {engine}", self.client));
        self.drawing = Some((place, engine));
        let engine = EngineId(engine as u32);
        self.asker.ask(bench, Request::Propose(Command::NextFence { engine }));
    }

    /// An answer has arrived.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply, record: &mut Record) {
        let Some(Reply::Answer(Answer::Fence(token))) = self.asker.on_reply(bench, token, reply)
        else {
            return;
        };
        let Some((place, engine)) = self.drawing.take() else { return };
        bench.note(|| format!("giver {} holds token {token} for engine {engine}", self.client));
        record.drawn(place, token);
        self.hold(engine, token);
        self.finished = self.finishing;
        self.pause(bench);
    }

    fn hold(&mut self, engine: usize, token: u64) {
        self.highest_token = self.highest_token.max(token);
        self.held = Some(Held { engine, token, sequence: 1 });
        self.sent.clear();
    }

    fn give(&mut self, bench: &mut Bench, record: &mut Record, engines: &[Target], held: Held) {
        let Some(engine) = engines.get(held.engine) else { return };
        let number = self
            .renumbered(record)
            .unwrap_or(OrderNumber { token: held.token, sequence: held.sequence });
        let model = ModelName::new("base");
        let model = model.unwrap_or_else(|error| unreachable!("a valid name: {error}"));
        let weights = WeightsVersion(record.orders.len() as u32 + 2);
        let order = Order {
            number,
            incarnation: engine.incarnation(),
            action: OrderAction::LoadModel { model, weights },
        };
        bench.note(|| format!("giver {} orders {number:?}", self.client));
        let sent = SentOrder { giver: self.client, engine: held.engine, order, refusal: None };
        record.orders.push(sent);
        let place = record.orders.len() - 1;
        self.sent.push(place);
        engine.send(bench, place);
        self.held = Some(Held { sequence: held.sequence + 1, ..held });
    }

    /// The planted fault: the number right after the one that fenced the last order off.
    fn renumbered(&self, record: &Record) -> Option<OrderNumber> {
        if self.planted != Some(Planted::OrderRenumbered) {
            return None;
        }
        let refusals = self.sent.iter().rev().filter_map(|place| record.orders.get(*place));
        let mut fenced = refusals.filter_map(|sent| match sent.refusal {
            Some(OrderRefusal::Fenced { newest }) => Some(newest),
            _ => None,
        });
        let OrderNumber { token, sequence } = fenced.next()?;
        Some(OrderNumber { token, sequence: sequence + 1 })
    }
}
