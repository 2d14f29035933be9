//! Simulation of replicas that confirm their state by a quorum, and of routers that follow them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use juniper_catalog::{Catalog, RequestLimits};
use juniper_clock::BootInstant;
use juniper_feed::FleetViewBuilder;
use juniper_protocol::message::{CatalogBody, FleetUpdate};
use juniper_types::{NodeId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONES: usize = 4;
const REPLICAS: usize = 8;
const ROUTERS: usize = 6;
const STEP_MS: i64 = 20;
const RUN_MS: i64 = 30_000;

/// Interval at which a replica asks a quorum, and a router asks a replica.
const CONFIRM_INTERVAL_MS: i64 = 500;

/// Age up to which a router honours keys.
const KEY_AGE_LIMIT: Duration = Duration::from_millis(4_250);

/// Time after the acknowledgement of a revocation from which no request may run with the key.
const REVOKE_WITHIN_MS: i64 = 5_000;

/// Faults that the check must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A confirmation from before the router's start counts as one at its start.
    ClampedToTheStart,
    /// The age of a confirmation counts from the reply, not from the request.
    CountedFromTheReply,
    /// A confirmation counts before the view has what was confirmed.
    WithoutTheRevision,
}

/// A request that a router admitted with a key that had been revoked too long ago.
#[derive(Debug)]
#[allow(dead_code, reason = "printed when a check fails")]
pub struct Violation {
    at_ms: i64,
    router: usize,
    held: u64,
    required: u64,
}

#[derive(Debug)]
struct Replica {
    zone: usize,
    /// Number of revocations applied; also the log position and the version of the catalog.
    applied: u64,
    confirmed_at_ms: Option<i64>,
    up_at_ms: i64,
}

/// Message from a replica on its way to a router.
#[derive(Debug)]
enum News {
    Fleet(u64),
    Catalog(u64),
    Confirmed { sent_at_ms: i64, age_ms: i64, revision: u64 },
}

#[derive(Debug)]
struct Router {
    zone: usize,
    builder: FleetViewBuilder,
    started_ms: i64,
    /// Time until which the process is down or stands still.
    resumes_at_ms: i64,
    /// Number of revocations that each replica has told.
    sent: BTreeMap<usize, u64>,
    /// Messages on each channel with their times of arrival, in order.
    inbox: BTreeMap<usize, VecDeque<(i64, News)>>,
}

/// A fleet in virtual time.
pub struct Fleet {
    draws: ChaCha8Rng,
    fault: Option<Fault>,
    now_ms: i64,
    /// Boot of all machines on the scale of the simulation; may lie shortly before the run.
    boot_ms: i64,
    replicas: Vec<Replica>,
    routers: Vec<Router>,
    /// Zone that is cut off, until when.
    cut: Option<(usize, i64)>,
    /// Times at which the revocations were acknowledged, oldest first.
    acknowledged_ms: Vec<i64>,
    violations: Vec<Violation>,
}

fn node(replica: usize) -> NodeId {
    NodeId(replica as u64 + 1)
}

impl Router {
    fn started(zone: usize, now_ms: i64) -> Self {
        let mut builder = FleetViewBuilder::default();
        (0..REPLICAS).for_each(|replica| {
            builder.set_connected(node(replica), true);
        });
        Router {
            zone,
            builder,
            started_ms: now_ms,
            resumes_at_ms: now_ms,
            sent: BTreeMap::new(),
            inbox: BTreeMap::new(),
        }
    }
}

impl Fleet {
    pub fn new(seed: u64, fault: Option<Fault>) -> Self {
        let mut draws = ChaCha8Rng::seed_from_u64(seed);
        let boot_ms = -draws.random_range(0..20_000);
        let replica =
            |index| Replica { zone: index % ZONES, applied: 1, confirmed_at_ms: None, up_at_ms: 0 };
        Fleet {
            draws,
            fault,
            now_ms: 0,
            boot_ms,
            replicas: (0..REPLICAS).map(replica).collect(),
            routers: (0..ROUTERS).map(|index| Router::started(index % ZONES, 0)).collect(),
            cut: None,
            acknowledged_ms: vec![0],
            violations: Vec::new(),
        }
    }

    /// Plays the run and returns the requests that were wrongly admitted.
    pub fn run(mut self) -> Vec<Violation> {
        while self.now_ms < RUN_MS {
            self.now_ms += STEP_MS;
            self.draw_disruption();
            self.revoke_key();
            self.confirm_replicas();
            self.ask_replicas();
            (0..ROUTERS).for_each(|router| self.read_inbox(router));
            (0..ROUTERS).for_each(|router| self.send_request(router));
        }
        self.violations
    }

    fn is_up(&self, replica: usize) -> bool {
        self.replicas[replica].up_at_ms <= self.now_ms
    }

    fn are_connected(&self, one: usize, other: usize) -> bool {
        let cut = self.cut.filter(|(_, until)| *until > self.now_ms).map(|(zone, _)| zone);
        one == other || cut.is_none_or(|zone| zone != one && zone != other)
    }

    /// Whether a quorum of replicas is up and reached from `replica`.
    fn has_quorum(&self, replica: usize) -> bool {
        let zone = self.replicas[replica].zone;
        let reached = |other: &usize| {
            self.is_up(*other) && self.are_connected(zone, self.replicas[*other].zone)
        };
        self.is_up(replica) && (0..REPLICAS).filter(reached).count() * 2 > REPLICAS
    }

    fn draw_disruption(&mut self) {
        let (kind, lasts_ms) =
            (self.draws.random_range(0..900), self.draws.random_range(500..9_000));
        let router = self.draws.random_range(0..ROUTERS);
        let replica = self.draws.random_range(0..REPLICAS);
        match kind {
            0..4 if self.cut.is_none_or(|(_, until)| until < self.now_ms) => {
                self.cut = Some((self.draws.random_range(0..ZONES), self.now_ms + lasts_ms));
            }
            4..14 => {
                let zone = self.routers[router].zone;
                self.routers[router] = Router::started(zone, self.now_ms);
            }
            14..17 => self.routers[router].resumes_at_ms = self.now_ms + lasts_ms,
            17..19 => {
                let restarted = &mut self.replicas[replica];
                restarted.confirmed_at_ms = None;
                restarted.up_at_ms = self.now_ms + 500;
            }
            _ => {}
        }
    }

    /// A quorum acknowledges a revocation; the other replicas in reach follow.
    fn revoke_key(&mut self) {
        let Some(leader) = (0..REPLICAS).find(|replica| self.has_quorum(*replica)) else { return };
        if self.draws.random_range(0..75) == 0 {
            self.acknowledged_ms.push(self.now_ms);
        }
        let latest = self.acknowledged_ms.len() as u64;
        let zone = self.replicas[leader].zone;
        for replica in 0..REPLICAS {
            if self.is_up(replica) && self.are_connected(zone, self.replicas[replica].zone) {
                self.replicas[replica].applied = latest;
            }
        }
    }

    fn confirm_replicas(&mut self) {
        for replica in 0..REPLICAS {
            let is_due = (self.now_ms + replica as i64 * 60) % CONFIRM_INTERVAL_MS < STEP_MS;
            if is_due && self.has_quorum(replica) {
                self.replicas[replica].confirmed_at_ms = Some(self.now_ms);
            }
        }
    }

    /// Lets replicas push their state and answer the routers' questions. A message may take seconds.
    fn ask_replicas(&mut self) {
        for router in 0..ROUTERS {
            for replica in 0..REPLICAS {
                let phase = (router * 37 + replica * 90) as i64;
                let is_due = (self.now_ms + phase) % CONFIRM_INTERVAL_MS < STEP_MS;
                let zone = self.replicas[replica].zone;
                let is_reached = self.are_connected(self.routers[router].zone, zone);
                if is_due && is_reached && self.is_up(replica) {
                    self.answer(router, replica);
                }
            }
        }
    }

    fn answer(&mut self, router: usize, replica: usize) {
        let Replica { applied, confirmed_at_ms, .. } = self.replicas[replica];
        if let Some(confirmed_at_ms) = confirmed_at_ms {
            let age_ms = self.now_ms - confirmed_at_ms;
            let news = News::Confirmed { sent_at_ms: self.now_ms, age_ms, revision: applied };
            self.send(router, replica, news);
        }
        let sent = self.routers[router].sent.insert(replica, applied);
        if sent != Some(applied) {
            self.send(router, replica, News::Fleet(applied));
            // Catalogs are requested separately, and possibly from another replica.
            self.send(router, replica + REPLICAS, News::Catalog(applied));
        }
    }

    /// Sends a message on one of the channels to a router, each of which keeps its order.
    fn send(&mut self, router: usize, channel: usize, news: News) {
        let is_slow = self.draws.random_range(0..30) == 0;
        let delay_ms = self.draws.random_range(2..if is_slow { 3_000 } else { 20 });
        let inbox = self.routers[router].inbox.entry(channel).or_default();
        let earliest = inbox.back().map_or(0, |(at, _)| *at);
        inbox.push_back((earliest.max(self.now_ms + delay_ms), news));
    }

    fn boot_instant(&self, at_ms: i64) -> BootInstant {
        let since_boot = at_ms - self.boot_ms;
        let magnitude = Duration::from_millis(since_boot.unsigned_abs());
        match since_boot >= 0 {
            true => BootInstant::BOOT + magnitude,
            false => BootInstant::BOOT.before(magnitude),
        }
    }

    fn read_inbox(&mut self, index: usize) {
        if self.routers[index].resumes_at_ms > self.now_ms {
            return;
        }
        for channel in 0..2 * REPLICAS {
            let inbox = self.routers[index].inbox.entry(channel).or_default();
            let arrived = inbox.partition_point(|(at, _)| *at <= self.now_ms);
            let arrived: Vec<News> = inbox.drain(..arrived).map(|(_, news)| news).collect();
            arrived.into_iter().for_each(|news| self.apply(index, channel % REPLICAS, news));
        }
    }

    fn apply(&mut self, index: usize, replica: usize, news: News) {
        let now = Timestamp(self.now_ms * 1_000);
        match news {
            News::Fleet(revision) => {
                let update = fleet_update(revision);
                self.routers[index].builder.apply_fleet_update(node(replica), update, now);
            }
            News::Catalog(version) => {
                let outcome = self.routers[index].builder.apply_catalog(catalog(version), now);
                outcome.expect("readable");
            }
            News::Confirmed { sent_at_ms, age_ms, revision } => {
                let counted_from = match self.fault {
                    Some(Fault::CountedFromTheReply) => self.now_ms,
                    _ => sent_at_ms,
                };
                let mut at_ms = counted_from - age_ms;
                if self.fault == Some(Fault::ClampedToTheStart) {
                    at_ms = at_ms.max(self.routers[index].started_ms);
                }
                let revision = match self.fault {
                    Some(Fault::WithoutTheRevision) => 0,
                    _ => revision,
                };
                let at = self.boot_instant(at_ms);
                self.routers[index].builder.record_confirmation(node(replica), at, revision);
            }
        }
    }

    /// Sends a request with every key that was ever revoked, and checks which ones are honoured.
    fn send_request(&mut self, index: usize) {
        let router = &self.routers[index];
        if router.resumes_at_ms > self.now_ms {
            return;
        }
        let Some(confirmation) = router.builder.confirmation() else { return };
        let age = self.boot_instant(self.now_ms).since(confirmation.at);
        let held = router.builder.view().catalog_version();
        let overdue = self.now_ms - REVOKE_WITHIN_MS;
        let required = self.acknowledged_ms.partition_point(|at| *at < overdue) as u64;
        if held > 0 && age < KEY_AGE_LIMIT && held < required {
            let at_ms = self.now_ms;
            self.violations.push(Violation { at_ms, router: index, held, required });
        }
    }
}

fn fleet_update(revision: u64) -> FleetUpdate {
    FleetUpdate {
        revision,
        catalog_version: revision,
        weights: BTreeMap::new(),
        departures: Vec::new(),
        members: (0..REPLICAS).map(node).collect(),
        quarantine: None,
        departed_through: Vec::new(),
        member_zones: Vec::new(),
        weights_ages: None,
    }
}

fn catalog(version: u64) -> Option<CatalogBody> {
    let catalog = Catalog { version, limits: RequestLimits::default(), ..Catalog::default() };
    Some(CatalogBody { version, body: minicbor::to_vec(&catalog).expect("encodes") })
}
