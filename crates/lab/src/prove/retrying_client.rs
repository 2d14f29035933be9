//! Client that sends one request at a time and resends it until it is answered.

use juniper_simulation::{Bench, Call, MILLI, Micros, Reply, Request};
use juniper_types::NodeId;

/// Number of attempts at one request that timer tokens can tell apart.
const MAX_ATTEMPTS: u64 = 1_024;

/// Longest time without an answer after which a request is sent again.
const MAX_RESEND_TIMEOUT: Micros = 900 * MILLI;

/// Meaning of a timer that fired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// The think time is over; the client may start a new operation.
    ThinkTimeOver,
    /// The pending request was sent again.
    Resent,
    /// The timer belongs to an earlier request or attempt.
    Stale,
}

/// Request that waits for its answer.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: Request,
    attempt: u64,
}

/// Client with at most one pending request. All attempts at a request share its number.
#[derive(Clone, Debug)]
pub struct RetryingClient {
    client: usize,
    number: u64,
    pending: Option<PendingRequest>,
}

impl RetryingClient {
    /// Creates the client with number `client`.
    pub fn new(client: usize) -> Self {
        RetryingClient { client, number: 0, pending: None }
    }

    /// Number of the current request.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Sends a new request to a random node.
    pub fn send_new(&mut self, bench: &mut Bench, request: Request) {
        self.number += 1;
        self.pending = Some(PendingRequest { request, attempt: 0 });
        let node = bench.any_node();
        self.send(bench, node);
    }

    /// Abandons the pending request; later answers to it are ignored.
    pub fn abandon(&mut self) {
        self.pending = None;
    }

    /// Schedules the client's next operation after `time`.
    pub fn schedule_next(&self, bench: &mut Bench, time: Micros) {
        let token = self.number * MAX_ATTEMPTS;
        bench.wake_after(time, Call { client: self.client, token });
    }

    fn send(&mut self, bench: &mut Bench, node: NodeId) {
        let Some(pending) = &mut self.pending else { return };
        pending.attempt = pending.attempt % (MAX_ATTEMPTS - 1) + 1;
        let token = self.number * MAX_ATTEMPTS + pending.attempt;
        let request = pending.request.clone();
        bench.send(node, Call { client: self.client, token: self.number }, request);
        let timeout = bench.random.between(MAX_RESEND_TIMEOUT / 3, MAX_RESEND_TIMEOUT);
        bench.wake_after(timeout, Call { client: self.client, token });
    }

    /// Handles a timer of this client; sends the pending request again on timeout.
    pub fn on_timer(&mut self, bench: &mut Bench, token: u64) -> TimerEvent {
        let (number, attempt) = (token / MAX_ATTEMPTS, token % MAX_ATTEMPTS);
        let current = self.pending.as_ref().map(|pending| pending.attempt);
        match current {
            None if number == self.number && attempt == 0 => TimerEvent::ThinkTimeOver,
            Some(pending_attempt) if number == self.number && attempt == pending_attempt => {
                let node = bench.any_node();
                self.send(bench, node);
                TimerEvent::Resent
            }
            _ => TimerEvent::Stale,
        }
    }

    /// Returns the answer to the current request, if `reply` is one. Sends the request
    /// again if the node refused it and named the leader.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply) -> Option<Reply> {
        if token != self.number || self.pending.is_none() {
            return None;
        }
        match reply {
            Reply::Refused { leader: Some(leader) } => {
                // Each refusal causes at most one more attempt, so resends stay bounded.
                if bench.random.chance(700) {
                    self.send(bench, leader);
                }
                None
            }
            Reply::Refused { leader: None } => None,
            answer => {
                self.pending = None;
                Some(answer)
            }
        }
    }
}
