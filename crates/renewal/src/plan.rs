//! Who is ordered next. Pure: servers, wanted versions and time in, one order out.
//!
//! Each version has to be in use within a bound after it was named, and a server
//! serves nothing while it takes new weights. So orders are spaced evenly over
//! most of that time, the server whose time is up first goes first, and it goes
//! to the newest version at once: versions in between are skipped.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_feed::WantedWeights;
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::trials::LoadTrials;

/// Bounds on a renewal.
#[derive(Clone, Copy, Debug)]
pub struct PlanSettings {
    /// Time after the naming of a version within which all servers should have it.
    pub within: Duration,
    /// Time after which an order that changed nothing is given again.
    pub repeat_after: Duration,
}

/// Part of a service's servers that may be under way at once, also when time is short: the
/// others have to carry all of its work meanwhile, and loads slow one another down.
const MAX_UNDER_WAY: f64 = 0.34;

/// Longest time for which missed orders are made up for.
const MAX_ARREARS: Duration = Duration::from_millis(250);

/// A server of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewalServer {
    /// Its life.
    pub instance: InstanceId,
    /// The model.
    pub model: String,
    /// Version of the model's weights that it has.
    pub version: u64,
}

/// A server with older weights than its model should have.
struct Behind<'a> {
    server: &'a RenewalServer,
    /// When the first version that it lacks was named.
    since: Timestamp,
    /// Version that it should have.
    wanted: u64,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    version: u64,
    /// Another order may follow from then on.
    again_at: Timestamp,
}

/// Orders that were given, and when the next one is due.
#[derive(Clone, Debug)]
pub struct RenewalPlan {
    settings: PlanSettings,
    ordered: BTreeMap<InstanceId, Ordered>,
    trials: LoadTrials,
    /// When the next order is due.
    due_at: Timestamp,
    /// Time between two orders, as the latest look at the servers has it.
    interval: Duration,
}

impl RenewalPlan {
    /// Nothing was ordered yet.
    pub fn new(settings: PlanSettings) -> Self {
        let (due_at, interval) = (Timestamp::ZERO, Duration::ZERO);
        let (ordered, trials) = (BTreeMap::new(), LoadTrials::default());
        RenewalPlan { settings, ordered, trials, due_at, interval }
    }

    /// The server to order next, with the version, if one is due now.
    pub fn next(
        &mut self,
        servers: &[RenewalServer],
        wanted: &BTreeMap<String, WantedWeights>,
        now: Timestamp,
    ) -> Option<(RenewalServer, u64)> {
        self.trials.observe(servers, now);
        for (model, weights) in wanted {
            self.trials.forget_below(model, weights.version());
        }
        self.ordered.retain(|id, _| servers.iter().any(|server| server.instance == *id));
        let behind = servers.iter().filter_map(|server| {
            let weights = wanted.get(&server.model)?;
            let since = weights.overdue_since(server.version)?;
            Some(Behind { server, since, wanted: weights.version() })
        });
        let mut behind: Vec<Behind<'_>> = behind.collect();
        behind.sort_by(|a, b| (a.since, &a.server.instance).cmp(&(b.since, &b.server.instance)));
        let total = behind.len();
        behind.retain(|behind| !self.is_under_way(behind.server, now));
        let under_way = total - behind.len();
        let first = behind.first()?;
        let left = self.settings.within.saturating_sub(now.since(first.since));
        self.interval = left / u32::try_from(behind.len() + 1).unwrap_or(u32::MAX);
        let most = (servers.len() as f64 * MAX_UNDER_WAY).ceil() as usize;
        let has_room = under_way < most;
        let may_load = self.trials.may_order(&first.server.model, first.wanted, now);
        let is_due = now >= self.due_at && has_room && may_load;
        is_due.then(|| (first.server.clone(), first.wanted))
    }

    fn is_under_way(&self, server: &RenewalServer, now: Timestamp) -> bool {
        self.ordered
            .get(&server.instance)
            .is_some_and(|ordered| ordered.version > server.version && now < ordered.again_at)
    }

    /// An order was taken, or may have been.
    pub fn ordered(&mut self, server: &RenewalServer, version: u64, now: Timestamp) {
        let again_at = now.after(self.settings.repeat_after);
        self.trials.ordered(server, version, again_at);
        self.ordered.insert(server.instance.clone(), Ordered { version, again_at });
        // What the pace of looking has missed is made up for, but not what was due
        // long ago.
        let earliest = Timestamp(now.0.saturating_sub(MAX_ARREARS.as_micros() as u64));
        self.due_at = self.due_at.max(earliest).after(self.interval);
    }

    /// The server is to be asked again after a while.
    pub fn postpone(&mut self, instance: &InstanceId, version: u64, by: Duration, now: Timestamp) {
        let again_at = now.after(by);
        self.ordered.insert(instance.clone(), Ordered { version, again_at });
    }
}
