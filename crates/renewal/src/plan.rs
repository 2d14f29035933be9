//! Schedule of orders: decides from servers, wanted versions and time which server is ordered next.
//!
//! Each version has to be in use within a deadline after it was requested, and a server serves
//! nothing while it loads new weights. Orders are therefore spaced evenly over the remaining time,
//! the most overdue server comes first, and it is ordered to load the newest version directly.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use juniper_feed::WantedWeights;
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::load_trials::LoadTrials;

/// Time limits of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct PlanSettings {
    /// Time after the request of a version within which all servers should have it.
    pub deadline: Duration,
    /// Time after which an order without effect is sent again.
    pub retry_after: Duration,
}

/// Maximum fraction of the servers with an order in flight. The others have to carry the whole load
/// meanwhile, and concurrent loads of weights slow each other down.
const MAX_IN_FLIGHT_FRACTION: f64 = 0.34;

/// Longest delay of orders that is caught up.
const MAX_CATCH_UP: Duration = Duration::from_millis(250);

/// Model on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewalServer {
    /// Incarnation of the server.
    pub instance: InstanceId,
    /// Name of the model.
    pub model: String,
    /// Version of the weights that the server has loaded.
    pub version: u64,
}

/// Server whose weights are older than the wanted version.
struct OutdatedServer<'a> {
    server: &'a RenewalServer,
    /// When the first version newer than the server's was requested.
    overdue_since: Timestamp,
    /// Version that the server should have.
    wanted: u64,
}

/// Latest order to a server, which executes one at a time.
#[derive(Clone, Debug)]
struct SentOrder {
    model: String,
    version: u64,
    /// When another order may be sent.
    retry_at: Timestamp,
}

/// Schedule of orders to the servers of all models.
#[derive(Clone, Debug)]
pub struct RenewalPlan {
    settings: PlanSettings,
    ordered: BTreeMap<InstanceId, SentOrder>,
    load_trials: LoadTrials,
    /// When the next order is due.
    next_order_at: Timestamp,
    /// Time between two orders, from the latest evaluation of the servers.
    interval: Duration,
}

impl RenewalPlan {
    /// Creates a plan without orders.
    pub fn new(settings: PlanSettings) -> Self {
        let (next_order_at, interval) = (Timestamp::ZERO, Duration::ZERO);
        let (ordered, load_trials) = (BTreeMap::new(), LoadTrials::default());
        RenewalPlan { settings, ordered, load_trials, next_order_at, interval }
    }

    /// Returns the server to order next and the version to load, if an order is due now. `servers`
    /// lists the models of a server one after the other.
    pub fn next(
        &mut self,
        servers: &[RenewalServer],
        wanted: &BTreeMap<String, WantedWeights>,
        now: Timestamp,
    ) -> Option<(RenewalServer, u64)> {
        self.load_trials.observe(servers, now);
        for (model, weights) in wanted {
            self.load_trials.remove_older(model, weights.version());
        }
        self.ordered.retain(|id, _| servers.iter().any(|server| server.instance == *id));
        let outdated = servers.iter().filter_map(|server| {
            let weights = wanted.get(&server.model)?;
            let overdue_since = weights.overdue_since(server.version)?;
            Some(OutdatedServer { server, overdue_since, wanted: weights.version() })
        });
        let mut outdated: Vec<OutdatedServer<'_>> = outdated.collect();
        outdated.sort_by(|one, other| {
            (one.overdue_since, &one.server.instance)
                .cmp(&(other.overdue_since, &other.server.instance))
        });
        // A server that loads weights of one model takes no order for another.
        let servers_outdated = outdated.iter().map(|outdated| outdated.server);
        let busy: BTreeSet<InstanceId> = servers_outdated
            .filter(|server| self.is_in_flight(server, now))
            .map(|server| server.instance.clone())
            .collect();
        outdated.retain(|outdated| !busy.contains(&outdated.server.instance));
        let first = outdated.first()?;
        let remaining = self.settings.deadline.saturating_sub(now.since(first.overdue_since));
        self.interval = remaining / u32::try_from(outdated.len() + 1).unwrap_or(u32::MAX);
        // The models of a server follow each other.
        let instances = servers.chunk_by(|one, next| one.instance == next.instance).count();
        let max_in_flight = (instances as f64 * MAX_IN_FLIGHT_FRACTION).ceil() as usize;
        let has_room = busy.len() < max_in_flight;
        let trials_allow = self.load_trials.may_order(&first.server.model, first.wanted, now);
        let is_due = now >= self.next_order_at && has_room && trials_allow;
        is_due.then(|| (first.server.clone(), first.wanted))
    }

    fn is_in_flight(&self, server: &RenewalServer, now: Timestamp) -> bool {
        self.ordered.get(&server.instance).is_some_and(|ordered| {
            ordered.model == server.model
                && ordered.version > server.version
                && now < ordered.retry_at
        })
    }

    /// Records an order that is sent to a server.
    pub fn record_order(&mut self, server: &RenewalServer, version: u64, now: Timestamp) {
        let retry_at = now.after(self.settings.retry_after);
        self.load_trials.record_order(server, version, retry_at);
        let model = server.model.clone();
        self.ordered.insert(server.instance.clone(), SentOrder { model, version, retry_at });
        // Orders delayed by the polling interval are caught up, longer delays aren't.
        self.next_order_at = self.next_order_at.max(now.before(MAX_CATCH_UP)).after(self.interval);
    }

    /// Postpones the next order to a server by the given time, after one for `version` of the model
    /// that had no effect.
    pub fn postpone(
        &mut self,
        instance: &InstanceId,
        (model, version): (&str, u64),
        by: Duration,
        now: Timestamp,
    ) {
        let order = SentOrder { model: model.to_owned(), version, retry_at: now.after(by) };
        self.ordered.insert(instance.clone(), order);
    }
}
