//! A router that claims a request for its caller, runs it once and settles it.

use std::collections::BTreeMap;

use juniper_control_state::{Answer, Command};
use juniper_simulation::machine::START_MS;
use juniper_simulation::{Bench, MILLI, Micros, Planted, Reply, Request};
use juniper_types::{BlockHash, ClaimAnswer, ClaimKey, ClaimOutcome, TenantName};

use super::record::{Asked, Record};
use crate::prove::asker::{Asker, Wake};

/// Operations of a router before it only finishes.
const MAX_OPERATIONS: u64 = 40;

const THINK_TIME: Micros = 800 * MILLI;

/// How long keys are remembered at least in these runs, in seconds.
const RETENTION_SECONDS: u64 = 6;

/// Recent keys that routers contend for.
const RECENT_KEYS: usize = 4;

/// What a router is busy with.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Work {
    Claim { key: ClaimKey, attempt: u64 },
    Settle,
    Advance,
}

/// One router.
pub struct Caller {
    client: usize,
    callers: usize,
    planted: Option<Planted>,
    asker: Asker,
    work: Option<(Work, usize)>,
    /// Claims by the number of the question: those that ran and those given up.
    ran: BTreeMap<u64, (ClaimKey, u64)>,
    given_up: BTreeMap<u64, (ClaimKey, u64)>,
    /// An outcome that is to be settled next.
    to_settle: Option<(ClaimKey, u64)>,
    operations: u64,
    finishing: bool,
    /// Next key to look at in the end.
    probe: usize,
    finished: bool,
}

impl Caller {
    /// The router that is client number `client` of `callers`.
    pub fn new(client: usize, callers: usize, planted: Option<Planted>) -> Self {
        Caller {
            client,
            callers,
            planted,
            asker: Asker::new(client),
            work: None,
            ran: BTreeMap::new(),
            given_up: BTreeMap::new(),
            to_settle: None,
            operations: 0,
            finishing: false,
            probe: client,
            finished: false,
        }
    }

    /// Begins.
    pub fn start(&mut self, bench: &mut Bench) {
        self.pause(bench);
    }

    /// Asks for the end: every key is claimed once more.
    pub fn finish(&mut self) {
        self.finishing = true;
    }

    /// Whether the end is reached.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn pause(&self, bench: &mut Bench) {
        let longest = if self.finishing { 50 * MILLI } else { THINK_TIME };
        let time = bench.random.between(2 * MILLI, longest);
        self.asker.think(bench, time);
    }

    /// A timer is due.
    pub fn on_timer(&mut self, bench: &mut Bench, token: u64, record: &mut Record) {
        match self.asker.on_timer(bench, token) {
            Wake::Think => self.begin(bench, record),
            Wake::Resent if !self.finishing && bench.random.chance(250) => {
                self.give_up(bench, record);
            }
            _ => {}
        }
    }

    /// The caller's time is up: it is told "not run" if a claim was being made.
    fn give_up(&mut self, bench: &mut Bench, record: &mut Record) {
        self.asker.give_up();
        if let Some((Work::Claim { key, attempt }, _)) = self.work.take() {
            bench.note(|| format!("router {} tells: {key} not run by {attempt:x}", self.client));
            record.refused.push((key.clone(), attempt));
            self.given_up.insert(self.asker.number(), (key, attempt));
        }
        self.pause(bench);
    }

    fn begin(&mut self, bench: &mut Bench, record: &mut Record) {
        self.operations += 1;
        if let Some((key, attempt)) = self.to_settle.take() {
            return self.settle(bench, record, key, attempt);
        }
        if self.finishing {
            return self.probe(bench, record);
        }
        if self.operations > MAX_OPERATIONS {
            return self.pause(bench);
        }
        match self.client == 0 && bench.random.chance(120) {
            true => self.advance(bench, record),
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
        let place = record.history.call(Asked::Claim { key: key.clone(), attempt });
        self.work = Some((Work::Claim { key: key.clone(), attempt }, place));
        let fingerprint = BlockHash([7; 16]);
        let command = Command::Claim { tenant: tenant(), key, fingerprint, attempt, now: 0 };
        self.asker.ask(bench, Request::Propose(command));
    }

    fn settle(&mut self, bench: &mut Bench, record: &mut Record, key: ClaimKey, attempt: u64) {
        bench.note(|| format!("router {} settles {key} of {attempt:x}", self.client));
        let place = record.history.call(Asked::Settle { key: key.clone(), attempt });
        self.work = Some((Work::Settle, place));
        let outcome = outcome_of(attempt);
        let command = Command::Settle { tenant: tenant(), key, attempt, outcome };
        self.asker.ask(bench, Request::Propose(command));
    }

    fn advance(&mut self, bench: &mut Bench, record: &mut Record) {
        let to = START_MS / 1_000 + (bench.now / 1_000_000).saturating_sub(RETENTION_SECONDS);
        bench.note(|| format!("router {} moves the horizon to {to}", self.client));
        self.work = Some((Work::Advance, record.history.call(Asked::Advance { to })));
        self.asker.ask(bench, Request::Propose(Command::AdvanceHorizon { to }));
    }

    /// Claims a key once more in the end; between them the routers claim them all.
    fn probe(&mut self, bench: &mut Bench, record: &mut Record) {
        let key = record.keys.get(self.probe).cloned();
        self.probe += self.callers;
        match key {
            Some(key) => self.claim(bench, record, key),
            None => self.finished = true,
        }
    }

    /// An answer has arrived.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply, record: &mut Record) {
        self.misuse(bench, token, &reply, record);
        let Some(Reply::Answer(answer)) = self.asker.on_reply(bench, token, reply) else { return };
        let Some((work, place)) = self.work.take() else { return };
        bench.note(|| format!("router {} is told {answer:?}", self.client));
        record.history.response(place, answer.clone());
        if let (Work::Claim { key, attempt }, Answer::Claim(ClaimAnswer::Granted)) = (work, answer)
        {
            self.ran.insert(token, (key.clone(), attempt));
            self.run(bench, record, key, attempt);
        }
        self.pause(bench);
    }

    /// Sends the request to a back end. Now and then the router ends before it settles.
    fn run(&mut self, bench: &mut Bench, record: &mut Record, key: ClaimKey, attempt: u64) {
        bench.note(|| format!("router {} runs {key} as {attempt:x}", self.client));
        record.runs.push((key.clone(), attempt));
        if bench.random.chance(800) {
            self.to_settle = Some((key, attempt));
        }
    }

    /// Does with an answer that comes late or twice what a planted fault says.
    fn misuse(&mut self, bench: &mut Bench, token: u64, reply: &Reply, record: &mut Record) {
        if !matches!(reply, Reply::Answer(Answer::Claim(ClaimAnswer::Granted))) {
            return;
        }
        let misused = match self.planted {
            Some(Planted::GrantUsedTwice) => self.ran.get(&token),
            Some(Planted::LateGrantUsed) => self.given_up.get(&token),
            _ => None,
        };
        if let Some((key, attempt)) = misused.cloned() {
            self.run(bench, record, key, attempt);
        }
    }
}

fn tenant() -> TenantName {
    let name = TenantName::new("acme");
    name.unwrap_or_else(|error| unreachable!("a valid name: {error}"))
}

/// The outcome of an attempt; it names the attempt.
pub fn outcome_of(attempt: u64) -> ClaimOutcome {
    ClaimOutcome {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: attempt.to_be_bytes().to_vec(),
        whole: true,
    }
}
