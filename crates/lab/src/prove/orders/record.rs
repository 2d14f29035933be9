//! Tokens that were drawn and orders that were sent.

use juniper_emulators::engine::orders::{Order, OrderRefusal};

/// One draw of a fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw {
    /// Who drew.
    pub giver: usize,
    /// Place of the question among all questions and answers.
    pub called: u64,
    /// Place of the answer, and the token.
    pub answered: Option<(u64, u64)>,
}

/// One order on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentOrder {
    /// Who gave it.
    pub giver: usize,
    /// The engine's place among all.
    pub engine: usize,
    /// The order.
    pub order: Order,
    /// What the engine said to it last, if it was refused.
    pub refusal: Option<OrderRefusal>,
}

/// Everything that the order-givers did.
#[derive(Clone, Debug, Default)]
pub struct Record {
    clock: u64,
    /// The draws.
    pub draws: Vec<Draw>,
    /// The orders, in the order of their first sending.
    pub orders: Vec<SentOrder>,
}

impl Record {
    /// A draw begins; returns its place.
    pub fn draw(&mut self, giver: usize) -> usize {
        self.clock += 1;
        self.draws.push(Draw { giver, called: self.clock, answered: None });
        self.draws.len() - 1
    }

    /// A draw has its token.
    pub fn drawn(&mut self, place: usize, token: u64) {
        self.clock += 1;
        if let Some(draw) = self.draws.get_mut(place) {
            draw.answered = Some((self.clock, token));
        }
    }
}
