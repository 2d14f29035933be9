//! Router that claims a request, executes it once and settles the outcome.

use std::collections::BTreeMap;

use juniper_control_state::{Answer, Command};
use juniper_simulation::machine::START_MS;
use juniper_simulation::{Bench, MILLI, Micros, Planted, Reply, Request};
use juniper_types::{BlockHash, ClaimAnswer, ClaimKey, ClaimOutcome, TenantName};

use super::record::{Invocation, Record};
use crate::prove::retrying_client::{RetryingClient, TimerEvent};

/// Maximum number of operations of a router before the final phase.
const MAX_OPERATIONS: u64 = 40;

const THINK_TIME: Micros = 800 * MILLI;

/// Minimum retention of keys in the simulation, in seconds.
const RETENTION_SECONDS: u64 = 6;

/// Number of recent keys for which routers compete.
const RECENT_KEYS: usize = 4;

/// Operation in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CurrentOperation {
    Claim { key: ClaimKey, attempt: u64 },
    Settle,
    Advance,
}

/// Simulated router that claims requests.
pub struct ClaimingRouter {
    client: usize,
    routers: usize,
    planted: Option<Planted>,
    requests: RetryingClient,
    /// Operation in progress, with its index in the history.
    current: Option<(CurrentOperation, usize)>,
    /// Executed claims, by request number.
    executed: BTreeMap<u64, (ClaimKey, u64)>,
    /// Abandoned claims, by request number.
    abandoned: BTreeMap<u64, (ClaimKey, u64)>,
    /// Key and attempt whose outcome is settled next.
    pending_settlement: Option<(ClaimKey, u64)>,
    operations: u64,
    finishing: bool,
    /// Index of the next key to claim in the final phase.
    next_key: usize,
    finished: bool,
}

impl ClaimingRouter {
    /// Creates the router with client number `client`, one of `routers` routers.
    pub fn new(client: usize, routers: usize, planted: Option<Planted>) -> Self {
        ClaimingRouter {
            client,
            routers,
            planted,
            requests: RetryingClient::new(client),
            current: None,
            executed: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            pending_settlement: None,
            operations: 0,
            finishing: false,
            next_key: client,
            finished: false,
        }
    }

    /// Schedules the first operation.
    pub fn start(&mut self, bench: &mut Bench) {
        self.schedule_next(bench);
    }

    /// Starts the final phase, in which every key is claimed once more.
    pub fn finish(&mut self) {
        self.finishing = true;
    }

    /// Whether the final phase is complete.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn schedule_next(&self, bench: &mut Bench) {
        let max_delay = if self.finishing { 50 * MILLI } else { THINK_TIME };
        let time = bench.random.between(2 * MILLI, max_delay);
        self.requests.schedule_next(bench, time);
    }

    /// Handles a timer: starts an operation, or abandons a pending one at random.
    pub fn on_timer(&mut self, bench: &mut Bench, token: u64, record: &mut Record) {
        match self.requests.on_timer(bench, token) {
            TimerEvent::ThinkTimeOver => self.start_operation(bench, record),
            TimerEvent::Resent if !self.finishing && bench.random.chance(250) => {
                self.abandon_operation(bench, record);
            }
            _ => {}
        }
    }

    /// Abandons the pending operation. A claim is reported to the caller as not run.
    fn abandon_operation(&mut self, bench: &mut Bench, record: &mut Record) {
        self.requests.abandon();
        if let Some((CurrentOperation::Claim { key, attempt }, _)) = self.current.take() {
            bench
                .note(|| format!("router {} reports {key} as not run by {attempt:x}", self.client));
            record.refused.push((key.clone(), attempt));
            self.abandoned.insert(self.requests.number(), (key, attempt));
        }
        self.schedule_next(bench);
    }

    fn start_operation(&mut self, bench: &mut Bench, record: &mut Record) {
        self.operations += 1;
        if let Some((key, attempt)) = self.pending_settlement.take() {
            return self.settle(bench, record, key, attempt);
        }
        if self.finishing {
            return self.verify_next_key(bench, record);
        }
        if self.operations > MAX_OPERATIONS {
            return self.schedule_next(bench);
        }
        match self.client == 0 && bench.random.chance(120) {
            true => self.advance_horizon(bench, record),
            false => {
                let key = self.choose_key(bench, record);
                self.claim(bench, record, key);
            }
        }
    }

    fn choose_key(&self, bench: &mut Bench, record: &mut Record) -> ClaimKey {
        let recent = record.keys.len().saturating_sub(RECENT_KEYS);
        let known = bench.random.pick(&record.keys[recent..]);
        if let Some(key) = known.filter(|_| bench.random.chance(720)) {
            return key;
        }
        let made_at = START_MS / 1_000 + bench.now / 1_000_000;
        let key = ClaimKey::new(made_at, format!("key-{}", record.keys.len()));
        let key = key.unwrap_or_else(|error| unreachable!("a valid key: {error}"));
        record.keys.push(key.clone());
        key
    }

    fn claim(&mut self, bench: &mut Bench, record: &mut Record, key: ClaimKey) {
        let attempt = bench.random.number();
        bench.note(|| format!("router {} claims {key} as {attempt:x}", self.client));
        let index =
            record.history.record_invocation(Invocation::Claim { key: key.clone(), attempt });
        self.current = Some((CurrentOperation::Claim { key: key.clone(), attempt }, index));
        let fingerprint = BlockHash([7; 16]);
        let command = Command::Claim { tenant: tenant(), key, fingerprint, attempt, now: 0 };
        self.requests.send_new(bench, Request::Propose(command));
    }

    fn settle(&mut self, bench: &mut Bench, record: &mut Record, key: ClaimKey, attempt: u64) {
        bench.note(|| format!("router {} settles {key} of {attempt:x}", self.client));
        let index =
            record.history.record_invocation(Invocation::Settle { key: key.clone(), attempt });
        self.current = Some((CurrentOperation::Settle, index));
        let outcome = outcome_of(attempt);
        let command = Command::Settle { tenant: tenant(), key, attempt, outcome };
        self.requests.send_new(bench, Request::Propose(command));
    }

    fn advance_horizon(&mut self, bench: &mut Bench, record: &mut Record) {
        let to = START_MS / 1_000 + (bench.now / 1_000_000).saturating_sub(RETENTION_SECONDS);
        bench.note(|| format!("router {} moves the horizon to {to}", self.client));
        self.current = Some((
            CurrentOperation::Advance,
            record.history.record_invocation(Invocation::Advance { to }),
        ));
        self.requests.send_new(bench, Request::Propose(Command::AdvanceHorizon { to }));
    }

    /// Claims this router's next share of the keys once more, in the final phase.
    fn verify_next_key(&mut self, bench: &mut Bench, record: &mut Record) {
        let key = record.keys.get(self.next_key).cloned();
        self.next_key += self.routers;
        match key {
            Some(key) => self.claim(bench, record, key),
            None => self.finished = true,
        }
    }

    /// Handles the answer to the pending operation.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply, record: &mut Record) {
        self.apply_planted_fault(bench, token, &reply, record);
        let Some(Reply::Answer(answer)) = self.requests.on_reply(bench, token, reply) else {
            return;
        };
        let Some((operation, index)) = self.current.take() else { return };
        bench.note(|| format!("router {} received {answer:?}", self.client));
        record.history.record_response(index, answer.clone());
        if let (CurrentOperation::Claim { key, attempt }, Answer::Claim(ClaimAnswer::Granted)) =
            (operation, answer)
        {
            self.executed.insert(token, (key.clone(), attempt));
            self.execute(bench, record, key, attempt);
        }
        self.schedule_next(bench);
    }

    /// Executes the request; the settlement is left out at random, as after a crash.
    fn execute(&mut self, bench: &mut Bench, record: &mut Record, key: ClaimKey, attempt: u64) {
        bench.note(|| format!("router {} executes {key} as {attempt:x}", self.client));
        record.executions.push((key.clone(), attempt));
        if bench.random.chance(800) {
            self.pending_settlement = Some((key, attempt));
        }
    }

    /// Planted faults: executes the request again on a duplicate or late grant.
    fn apply_planted_fault(
        &mut self,
        bench: &mut Bench,
        token: u64,
        reply: &Reply,
        record: &mut Record,
    ) {
        if !matches!(reply, Reply::Answer(Answer::Claim(ClaimAnswer::Granted))) {
            return;
        }
        let reused = match self.planted {
            Some(Planted::GrantUsedTwice) => self.executed.get(&token),
            Some(Planted::LateGrantUsed) => self.abandoned.get(&token),
            _ => None,
        };
        if let Some((key, attempt)) = reused.cloned() {
            self.execute(bench, record, key, attempt);
        }
    }
}

fn tenant() -> TenantName {
    let name = TenantName::new("acme");
    name.unwrap_or_else(|error| unreachable!("a valid name: {error}"))
}

/// Outcome of an attempt, with the attempt id as body.
pub fn outcome_of(attempt: u64) -> ClaimOutcome {
    ClaimOutcome {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: attempt.to_be_bytes().to_vec(),
        whole: true,
    }
}
