//! The one who gives orders: holds the lease and decides whom to order next.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_control::{FleetCalls, Renewals};
use juniper_control_state::OrderLease;
use juniper_feed::{Feed, FleetView};
use juniper_registry::{Departure, Departures, Instance, InstanceId};
use juniper_types::{NodeId, Timestamp};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::exchange::{Order, OrderDialect, RunningRequests};
use crate::plan::{PlanSettings, RenewalPlan, RenewalServer};
use crate::task::{OrderTask, TaskEnd, TaskOutcome};

/// Pace at which the plan is looked at.
const PACE: Duration = Duration::from_millis(100);

/// Age of the quorum's last confirmation beyond which this node may have been
/// replaced as leader without knowing.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(900);

/// What is waited beyond the lease of another holder, for clocks that run unevenly.
const LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Pause before the lease is asked for again.
const LEASE_PAUSE: Duration = Duration::from_millis(300);

/// Pause before a server that didn't take an order is ordered again.
const REPEAT_PAUSE: Duration = Duration::from_millis(300);

/// Orders given at one look at the plan.
const MAX_ORDERS_AT_ONCE: usize = 16;

/// Settings of the one who gives orders.
#[derive(Clone, Debug)]
pub struct GiverSettings {
    /// This control node.
    pub node: NodeId,
    /// Its name, which servers are told.
    pub name: String,
    /// Shortest time between the orders of two holders.
    pub lease: Duration,
    /// Bounds on a renewal.
    pub plan: PlanSettings,
}

/// The lease while this node holds it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: OrderLease,
    term: u64,
    /// No order before this.
    from: Instant,
}

/// Whether this node leads, in `term` if one is given, and a quorum has confirmed
/// so just now.
pub(crate) fn leads(calls: &FleetCalls, term: Option<u64>) -> bool {
    let view = calls.view();
    let status = view.status.borrow();
    let same_term = term.is_none_or(|term| term == status.term);
    let confirmed = view.confirmed_at.borrow().is_some_and(|at| at.elapsed() < CONFIRMED_WITHIN);
    status.is_leader() && same_term && confirmed
}

/// Gives orders while its node leads.
pub struct OrderGiver {
    settings: GiverSettings,
    dialect: Arc<dyn OrderDialect>,
    calls: FleetCalls,
    feed: Feed,
    plan: RenewalPlan,
    held: Option<HeldLease>,
    /// Orders that each server is believed to have taken.
    orders: BTreeMap<InstanceId, u64>,
    /// Servers with an order under way.
    under_way: BTreeSet<InstanceId>,
    /// Servers that said in an answer that they leave.
    departures: Departures,
    versions: BTreeMap<(InstanceId, String), u64>,
    outcomes: mpsc::UnboundedReceiver<TaskOutcome>,
    outcome_sender: mpsc::UnboundedSender<TaskOutcome>,
    next_lease_try: Instant,
}

impl OrderGiver {
    /// Holds nothing yet.
    pub fn new(
        settings: GiverSettings,
        dialect: impl OrderDialect,
        calls: FleetCalls,
        feed: Feed,
    ) -> Self {
        let (outcome_sender, outcomes) = mpsc::unbounded_channel();
        OrderGiver {
            plan: RenewalPlan::new(settings.plan),
            settings,
            dialect: Arc::new(dialect),
            calls,
            feed,
            held: None,
            orders: BTreeMap::new(),
            under_way: BTreeSet::new(),
            departures: Departures::default(),
            versions: BTreeMap::new(),
            outcomes,
            outcome_sender,
            next_lease_try: Instant::now(),
        }
    }

    /// Gives orders whenever that is due and allowed, for ever.
    pub async fn run(mut self) {
        let mut ticks = interval(PACE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                outcome = self.outcomes.recv() => match outcome {
                    Some(outcome) => self.note(outcome),
                    None => return,
                },
            }
            self.announce();
        }
    }

    async fn tick(&mut self) {
        let view = self.feed.latest();
        let term = self.held.map(|held| held.term);
        if view.weights.is_empty() || !leads(&self.calls, term) {
            self.held = None;
            return;
        }
        if self.held.is_none() {
            self.take_lease().await;
        }
        if self.held.is_some_and(|held| Instant::now() >= held.from) {
            self.give_due(&view);
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.feed.time_origin().elapsed())
    }

    async fn take_lease(&mut self) {
        if Instant::now() < self.next_lease_try {
            return;
        }
        self.next_lease_try = Instant::now() + LEASE_PAUSE;
        let term = self.calls.view().status.borrow().term;
        let lease = match self.calls.take_order_lease(self.settings.node).await {
            Ok(lease) => lease,
            Err(refusal) => {
                log::warn!("event=order_lease_refused reason=\"{refusal}\"");
                return;
            }
        };
        let wait = match lease.previous {
            Some(_) => self.settings.lease + LEASE_MARGIN,
            None => Duration::ZERO,
        };
        log::info!(
            "event=order_lease_taken token={} term={term} previous={} wait_ms={}",
            lease.token,
            lease.previous.map_or(0, |node| node.0),
            wait.as_millis()
        );
        self.held = Some(HeldLease { lease, term, from: Instant::now() + wait });
    }

    /// Gives every order that is due.
    fn give_due(&mut self, view: &FleetView) {
        let servers = self.servers(view);
        for _ in 0..MAX_ORDERS_AT_ONCE {
            let next = self.plan.next(&servers, &view.weights, self.now());
            let Some((server, version)) = next else { return };
            let found = view.instances.get(server.instance.name());
            let Some(instance) = found.filter(|known| known.id == server.instance) else { return };
            self.give(&server, version, instance.report.address);
        }
    }

    /// The servers of all models with the versions that they are known to have.
    fn servers(&self, view: &FleetView) -> Vec<RenewalServer> {
        // Their own word counts also before it has come to the list of servers.
        let stays = |instance: &&Arc<Instance>| !self.departures.covers(&instance.id);
        let usable = view.instances.iter().filter(|instance| !instance.silent).filter(stays);
        let held = usable.flat_map(|instance| {
            let id = &instance.id;
            instance.report.models.iter().map(move |held| (id, held))
        });
        held.map(|(id, held)| {
            let known = self.versions.get(&(id.clone(), held.model.clone()));
            RenewalServer {
                instance: id.clone(),
                model: held.model.clone(),
                version: held.version.max(known.copied().unwrap_or(0)),
            }
        })
        .collect()
    }

    fn give(&mut self, server: &RenewalServer, version: u64, address: SocketAddrV4) {
        let Some(held) = self.held else { return };
        let order = Order {
            instance: server.instance.clone(),
            model: server.model.clone(),
            version,
            // A stream runs for seconds. A server that waits for its streams is out
            // for as long, and with several of them out at once the others are crowded.
            running: RunningRequests::GoOn,
            holder: self.settings.name.clone(),
            token: held.lease.token,
            expected_orders: self.orders.get(&server.instance).copied().unwrap_or(0),
        };
        self.plan.ordered(server, version, self.now());
        self.under_way.insert(order.instance.clone());
        let task = OrderTask {
            dialect: Arc::clone(&self.dialect),
            calls: self.calls.clone(),
            term: held.term,
            address,
            order,
            from_version: server.version,
        };
        let outcomes = self.outcome_sender.clone();
        tokio::spawn(async move {
            // The giver lives as long as the process.
            let _ = outcomes.send(task.run().await);
        });
    }

    fn note(&mut self, outcome: TaskOutcome) {
        let TaskOutcome { order, end, orders } = outcome;
        self.under_way.remove(&order.instance);
        if let Some(orders) = orders {
            self.orders.insert(order.instance.clone(), orders);
        }
        let now = self.now();
        match end {
            TaskEnd::Renewed(version) => {
                self.versions.insert((order.instance, order.model), version);
            }
            TaskEnd::Fenced => self.held = None,
            TaskEnd::Again => {
                self.plan.postpone(&order.instance, order.version, REPEAT_PAUSE, now);
            }
            TaskEnd::AgainAfter(pause) => {
                self.plan.postpone(&order.instance, order.version, pause, now);
            }
            TaskEnd::Leaving => {
                log::info!("event=server_leaving_heard request=- instance={}", order.instance);
                self.departures.add(&Departure::of(&order.instance), now);
            }
            TaskEnd::Gone => {}
        }
    }

    /// Tells routers what they can't know from the servers yet.
    fn announce(&mut self) {
        let view = self.feed.latest();
        let report = |id: &InstanceId| {
            let known = view.instances.get(id.name()).filter(|known| known.id == *id);
            known.map(|known| &known.report)
        };
        self.orders.retain(|instance, _| report(instance).is_some());
        self.departures.expire(self.now(), |name| view.instances.get(name).is_some());
        self.versions.retain(|(instance, model), version| {
            report(instance).is_some_and(|report| report.version_of(model) < Some(*version))
        });
        self.calls.announce(Renewals {
            under_way: self.under_way.clone(),
            versions: self.versions.clone(),
        });
    }
}
