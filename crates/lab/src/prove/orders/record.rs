//! Record of token requests and sent orders.

use juniper_emulators::engine::orders::{Order, OrderRefusal};

/// Request for a fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Client number of the requesting dispatcher.
    pub dispatcher: usize,
    /// Logical time of the request.
    pub requested_at: u64,
    /// Logical time of the answer, and the token.
    pub issued: Option<(u64, u64)>,
}

/// Order that was sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentOrder {
    /// Client number of the sending dispatcher.
    pub dispatcher: usize,
    /// Index of the engine.
    pub engine: usize,
    pub order: Order,
    /// Engine's latest refusal, if any.
    pub refusal: Option<OrderRefusal>,
}

/// Token requests and orders of all dispatchers.
#[derive(Clone, Debug, Default)]
pub struct Record {
    clock: u64,
    /// Token requests, oldest first.
    pub token_requests: Vec<TokenRequest>,
    /// Orders, oldest first.
    pub orders: Vec<SentOrder>,
}

impl Record {
    /// Records a token request and returns its index.
    pub fn record_request(&mut self, dispatcher: usize) -> usize {
        self.clock += 1;
        self.token_requests.push(TokenRequest {
            dispatcher,
            requested_at: self.clock,
            issued: None,
        });
        self.token_requests.len() - 1
    }

    /// Records the token issued for the request at `index`.
    pub fn record_token(&mut self, index: usize, token: u64) {
        self.clock += 1;
        if let Some(request) = self.token_requests.get_mut(index) {
            request.issued = Some((self.clock, token));
        }
    }
}
