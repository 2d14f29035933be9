//! A client that asks one thing at a time, again and again until it is answered.

use juniper_simulation::{Bench, Call, MILLI, Micros, Reply, Request};
use juniper_types::NodeId;

/// Sendings of one question that a timer can tell apart.
const MAX_ATTEMPTS: u64 = 1_024;

/// Longest wait for an answer before the question is sent again.
const PATIENCE: Micros = 900 * MILLI;

/// A timer's meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// The client has thought enough and does something new.
    Think,
    /// The question was sent again.
    Resent,
    /// A timer of an earlier question or sending.
    Stale,
}

/// A question that waits for its answer.
#[derive(Clone, Debug)]
struct Open {
    request: Request,
    attempt: u64,
}

/// One client's questions. Each has a number of its own, which its sendings share.
#[derive(Clone, Debug)]
pub struct Asker {
    client: usize,
    number: u64,
    open: Option<Open>,
}

impl Asker {
    /// The asker of a client.
    pub fn new(client: usize) -> Self {
        Asker { client, number: 0, open: None }
    }

    /// Number of the current question.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Asks something new.
    pub fn ask(&mut self, bench: &mut Bench, request: Request) {
        self.number += 1;
        self.open = Some(Open { request, attempt: 0 });
        let node = bench.any_node();
        self.send(bench, node);
    }

    /// Gives the question up; answers to it are ignored from now on.
    pub fn give_up(&mut self) {
        self.open = None;
    }

    /// Calls the client after a while to do something new.
    pub fn think(&self, bench: &mut Bench, time: Micros) {
        let token = self.number * MAX_ATTEMPTS;
        bench.wake_after(time, Call { client: self.client, token });
    }

    fn send(&mut self, bench: &mut Bench, node: NodeId) {
        let Some(open) = &mut self.open else { return };
        open.attempt = open.attempt % (MAX_ATTEMPTS - 1) + 1;
        let token = self.number * MAX_ATTEMPTS + open.attempt;
        let request = open.request.clone();
        bench.send(node, Call { client: self.client, token: self.number }, request);
        let patience = bench.random.between(PATIENCE / 3, PATIENCE);
        bench.wake_after(patience, Call { client: self.client, token });
    }

    /// A timer of this client is due.
    pub fn on_timer(&mut self, bench: &mut Bench, token: u64) -> Wake {
        let (number, attempt) = (token / MAX_ATTEMPTS, token % MAX_ATTEMPTS);
        let current = self.open.as_ref().map(|open| open.attempt);
        match current {
            None if number == self.number && attempt == 0 => Wake::Think,
            Some(open_attempt) if number == self.number && attempt == open_attempt => {
                let node = bench.any_node();
                self.send(bench, node);
                Wake::Resent
            }
            _ => Wake::Stale,
        }
    }

    /// The answer to the current question, if `reply` is one.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply) -> Option<Reply> {
        if token != self.number || self.open.is_none() {
            return None;
        }
        match reply {
            Reply::Refused { leader: Some(leader) } => {
                // Bounded by patience: each refusal leads to one more sending at most.
                if bench.random.chance(700) {
                    self.send(bench, leader);
                }
                None
            }
            Reply::Refused { leader: None } => None,
            answer => {
                self.open = None;
                Some(answer)
            }
        }
    }
}
