//! Simulation of many routers that see each other's dispatches late.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use juniper_placement::{
    DispatchRecord, Outcome, Placement, Prompt, PromptSegment, ReportedRequest, ServerRequest,
    ServiceProfile, Ticket,
};
use juniper_registry::InstanceId;
use juniper_types::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::servers::{Job, Output, Server};
use crate::support::{SERVICE, at, placement};

const SERVERS: u16 = 90;
const WARM_UP_MS: u64 = 2_500;
const END_MS: u64 = 5_000;
/// Time for the last requests to end.
const DRAIN_MS: u64 = 1_500;
const SHORT_PER_MS: f64 = 0.198;
const LONG_PER_MS: f64 = 0.522;
const MAX_GAP_MS: f64 = 300.0;

/// How a router selects a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// The rules of services that aren't tight: the lowest cost, lanes by prefill.
    Earlier,
    /// The rules of tight services.
    Draw,
    /// The cheaper of two random servers.
    TwoRandom,
    /// The servers that the router shares with a sixth of the others.
    Share,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Case {
    Even,
    /// 1.4 times the load.
    Peak,
    /// A fifth of the servers take twice the time.
    UnequalSpeed,
    /// Four in ten long prompts share one segment.
    HotSegment,
    /// No reports reach the routers of one zone (a quarter) after the warm-up.
    Partition,
}

/// Measures of one simulated run.
#[derive(Debug)]
pub struct Measures {
    pub busiest: f64,
    pub wait_p90: f64,
    pub short_gaps: f64,
    pub long_gaps: f64,
    pub in_time: f64,
}

impl Measures {
    pub fn mean(&self, other: &Measures) -> Measures {
        let mean = |of: fn(&Measures) -> f64| (of(self) + of(other)) / 2.0;
        Measures {
            busiest: mean(|measures| measures.busiest),
            wait_p90: mean(|measures| measures.wait_p90),
            short_gaps: mean(|measures| measures.short_gaps),
            long_gaps: mean(|measures| measures.long_gaps),
            in_time: mean(|measures| measures.in_time),
        }
    }
}

enum Report {
    Dispatch(ReportedRequest, DispatchRecord),
    End(ReportedRequest),
}

struct Sent {
    router: usize,
    number: u16,
    ticket: Ticket,
    is_long: bool,
    prefill_tokens: u32,
}

pub fn simulate(routers: usize, way: Way, case: Case, seed: u64) -> Measures {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(routers, way, case);
    for now in 0..END_MS + DRAIN_MS {
        fleet.deliver(now);
        fleet.vary_speed(now, &mut random);
        let load = if case == Case::Peak { 1.4 } else { 1.0 };
        for (per_ms, is_long) in [(SHORT_PER_MS, false), (LONG_PER_MS, true)] {
            if now < END_MS && random.random_bool(per_ms * load) {
                fleet.send(now, is_long, &mut random);
            }
        }
        fleet.run(now, &mut random);
    }
    fleet.measures()
}

struct Fleet {
    way: Way,
    case: Case,
    routers: Vec<Placement>,
    servers: Vec<Server>,
    slow_until: Vec<u64>,
    names: HashMap<String, usize>,
    ids: Vec<InstanceId>,
    reports: BTreeMap<u64, Vec<(usize, Report)>>,
    sent: Vec<Option<Sent>>,
    done: Vec<(bool, u32, Job)>,
}

impl Fleet {
    fn new(routers: usize, way: Way, case: Case) -> Self {
        let mut placement = placement(SERVERS);
        let profile = ServiceProfile {
            transfer_ms_per_token: 0.003,
            cache_tokens: 114_380,
            stores: Vec::new(),
            is_tight: way != Way::Earlier,
        };
        placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
        let ids: Vec<InstanceId> =
            (1..=SERVERS).map(|number| crate::support::instance(number, 1).id).collect();
        Fleet {
            way,
            case,
            routers: vec![placement; routers],
            servers: ids.iter().map(|_| Server::default()).collect(),
            slow_until: vec![0; ids.len()],
            names: ids.iter().enumerate().map(|(index, id)| (id.to_string(), index)).collect(),
            ids,
            reports: BTreeMap::new(),
            sent: Vec::new(),
            done: Vec::new(),
        }
    }

    /// Servers run slower by a factor of 2.5 for 600 ms at a time, in 15% of the time.
    fn vary_speed(&mut self, now: u64, random: &mut ChaCha8Rng) {
        for (index, server) in self.servers.iter_mut().enumerate() {
            if now >= self.slow_until[index] && random.random_bool(0.15 / 0.85 / 600.0) {
                self.slow_until[index] = now + 600;
            }
            let is_slow_kind = self.case == Case::UnequalSpeed && index % 5 == 0;
            let slow = if now < self.slow_until[index] { 2.5 } else { 1.0 };
            server.slow_factor = if is_slow_kind { 2.0 * slow } else { slow };
        }
    }

    fn deliver(&mut self, now: u64) {
        for (from, report) in self.reports.remove(&now).unwrap_or_default() {
            for (to, router) in self.routers.iter_mut().enumerate() {
                let is_cut =
                    self.case == Case::Partition && now > WARM_UP_MS && to.is_multiple_of(4);
                if to == from || is_cut {
                    continue;
                }
                match &report {
                    Report::Dispatch(request, dispatch) => {
                        router.apply_peer_dispatch(*request, dispatch, at(now));
                    }
                    Report::End(request) => router.apply_peer_completion(*request, at(now)),
                }
            }
        }
    }

    fn report(&mut self, now: u64, from: usize, report: Report, random: &mut ChaCha8Rng) {
        let due = now + random.random_range(15..=60);
        self.reports.entry(due).or_default().push((from, report));
    }

    /// Servers that the way of selection leaves out.
    fn excluded(&self, router: usize, random: &mut ChaCha8Rng) -> Vec<InstanceId> {
        let servers = self.ids.len();
        let kept: Vec<usize> = match self.way {
            Way::Earlier | Way::Draw => return Vec::new(),
            Way::TwoRandom => (0..2).map(|_| random.random_range(0..servers)).collect(),
            Way::Share => (0..servers).filter(|server| server % 6 == router % 6).collect(),
        };
        let left_out = (0..servers).filter(|index| !kept.contains(index));
        left_out.map(|index| self.ids[index].clone()).collect()
    }

    fn prompt(&self, is_long: bool, random: &mut ChaCha8Rng) -> Prompt {
        let is_hot = self.case == Case::HotSegment && random.random_bool(0.4);
        let (shared, own, group) = match is_long {
            true if is_hot => (6_300, 2_890, 0),
            true => (6_300, 2_890, random.random_range(0..400)),
            false => (198, 628, 1_000 + random.random_range(0..12)),
        };
        let own = (f64::from(own) * random.random_range(0.3..1.7)) as u32;
        let segment = |id, tokens| PromptSegment { id, tokens };
        Prompt {
            model: "m".to_owned(),
            segments: vec![segment(group, shared), segment(random.random(), own)],
            tokens: shared + own,
            output_tokens: 8 * if is_long { 7 } else { 36 },
        }
    }

    fn send(&mut self, now: u64, is_long: bool, random: &mut ChaCha8Rng) {
        let router = random.random_range(0..self.routers.len());
        let prompt = self.prompt(is_long, random);
        let excluded = self.excluded(router, random);
        let objective = Duration::from_millis(if is_long { 400 } else { 300 });
        let request = ServerRequest {
            objective,
            time_left: objective,
            max_gap: Some(Duration::from_millis(300)),
            ..crate::support::request(&prompt, &excluded)
        };
        let placement = &mut self.routers[router];
        let choice = placement.choose(&request, at(now), random.random()).expect("a server");
        let ticket = placement.begin_request(&choice, true, at(now));
        let number = (self.sent.len() + 1) as u16;
        let reported = ReportedRequest { router: NodeId(router as u64 + 1), number };
        self.report(now, router, Report::Dispatch(reported, choice.dispatch_record()), random);
        let job = Job {
            request: self.sent.len(),
            prefill_tokens: f64::from(choice.prefill_tokens),
            output_tokens: prompt.output_tokens,
            sent_at: now as f64,
            first_output_at: 0.0,
            last_event_at: 0.0,
            longest_gap: 0.0,
            generated: 0,
        };
        let prefill_tokens = choice.prefill_tokens;
        self.sent.push(Some(Sent { router, number, ticket, is_long, prefill_tokens }));
        self.servers[self.names[&choice.instance.to_string()]].add(job);
    }

    fn run(&mut self, now: u64, random: &mut ChaCha8Rng) {
        let mut outputs = Vec::new();
        for server in &mut self.servers {
            server.run(now as f64 + 1.0, &mut outputs);
        }
        for output in outputs {
            match output {
                Output::First(index) => {
                    let sent = self.sent[index].as_mut().expect("a request in flight");
                    self.routers[sent.router].record_first_output(&mut sent.ticket, at(now + 50));
                }
                Output::End(job) => {
                    let sent = self.sent[job.request].take().expect("a request in flight");
                    let Sent { router, number, ticket, is_long, prefill_tokens } = sent;
                    let gap = Duration::from_secs_f64(job.longest_gap / 1_000.0);
                    self.routers[router].record_longest_gap(&ticket, gap, at(now));
                    self.routers[router].end_request(ticket, Outcome::Answered, at(now));
                    let request = ReportedRequest { router: NodeId(router as u64 + 1), number };
                    self.report(now, router, Report::End(request), random);
                    self.done.push((is_long, prefill_tokens, job));
                }
            }
        }
    }

    fn measures(&self) -> Measures {
        let measured: Vec<_> =
            self.done.iter().filter(|(_, _, job)| job.sent_at >= WARM_UP_MS as f64).collect();
        let share = |kept: &dyn Fn(&&(bool, u32, Job)) -> bool,
                     counted: &dyn Fn(&(bool, u32, Job)) -> bool| {
            let all: Vec<_> = measured.iter().copied().filter(kept).collect();
            all.iter().filter(|done| counted(done)).count() as f64 / all.len().max(1) as f64
        };
        let wait = |(_, tokens, job): &(bool, u32, Job)| {
            job.first_output_at - job.sent_at - f64::from(*tokens) / 112.0
        };
        let mut waits: Vec<f64> = measured.iter().map(|done| wait(done)).collect();
        waits.sort_by(f64::total_cmp);
        let busy: Vec<f64> = self.servers.iter().map(|server| server.busy_ms).collect();
        let has_gap = |done: &(bool, u32, Job)| done.2.longest_gap > MAX_GAP_MS;
        let objective = |is_long: bool| if is_long { 350.0 } else { 250.0 };
        let in_time = |done: &(bool, u32, Job)| {
            done.2.first_output_at - done.2.sent_at <= objective(done.0) && !has_gap(done)
        };
        Measures {
            busiest: busy.iter().copied().fold(0.0, f64::max) * busy.len() as f64
                / busy.iter().sum::<f64>(),
            wait_p90: waits[waits.len() * 9 / 10],
            short_gaps: share(&|done| !done.0, &has_gap),
            long_gaps: share(&|done| done.0, &has_gap),
            in_time: share(&|_| true, &in_time),
        }
    }
}
