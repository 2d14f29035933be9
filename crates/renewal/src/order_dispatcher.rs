//! Dispatch of orders while this node holds the order lease.

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
use crate::order_task::{OrderResult, OrderTask, TaskOutcome};
use crate::plan::{PlanSettings, RenewalPlan, RenewalServer};

/// Interval at which the plan is evaluated.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Age of the quorum's last confirmation beyond which this node may have been replaced as leader
/// without knowing.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(900);

/// Wait beyond the lease of the previous holder, to allow for clock drift.
const LEASE_CLOCK_MARGIN: Duration = Duration::from_millis(400);

/// Delay between two attempts to acquire the lease.
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Delay before an order that a server didn't accept is retried.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of orders sent in one evaluation of the plan.
const MAX_ORDERS_PER_TICK: usize = 16;

/// Settings of the order dispatcher.
#[derive(Clone, Debug)]
pub struct OrderDispatcherSettings {
    /// Id of this control node.
    pub node: NodeId,
    /// Name of this control node, sent to servers as the holder of the lease.
    pub name: String,
    /// Shortest time between the orders of two holders.
    pub lease: Duration,
    /// Time limits of a rollout.
    pub plan: PlanSettings,
}

/// Order lease that this node holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: OrderLease,
    term: u64,
    /// Earliest time at which orders may be sent.
    orders_allowed_from: Instant,
}

/// Whether this node is the leader, in `term` if given, and a quorum has confirmed it recently.
pub(crate) fn is_confirmed_leader(calls: &FleetCalls, term: Option<u64>) -> bool {
    let view = calls.view();
    let status = view.status.borrow();
    let same_term = term.is_none_or(|term| term == status.term);
    let confirmed =
        view.confirmed_at.borrow().is_some_and(|at| at.elapsed() < MAX_CONFIRMATION_AGE);
    status.is_leader() && same_term && confirmed
}

/// Sends orders to servers while its node is the leader.
pub struct OrderDispatcher {
    settings: OrderDispatcherSettings,
    dialect: Arc<dyn OrderDialect>,
    calls: FleetCalls,
    feed: Feed,
    plan: RenewalPlan,
    held: Option<HeldLease>,
    /// Number of orders that each server is expected to have accepted.
    orders: BTreeMap<InstanceId, u64>,
    /// Servers with an order in flight.
    in_flight: BTreeSet<InstanceId>,
    /// Servers that announced their departure in an answer.
    departures: Departures,
    /// Versions of weights that servers were observed to have loaded.
    versions: BTreeMap<(InstanceId, String), u64>,
    outcomes: mpsc::UnboundedReceiver<TaskOutcome>,
    outcome_sender: mpsc::UnboundedSender<TaskOutcome>,
    next_lease_attempt: Instant,
}

impl OrderDispatcher {
    /// Creates a dispatcher without a lease.
    pub fn new(
        settings: OrderDispatcherSettings,
        dialect: impl OrderDialect,
        calls: FleetCalls,
        feed: Feed,
    ) -> Self {
        let (outcome_sender, outcomes) = mpsc::unbounded_channel();
        OrderDispatcher {
            plan: RenewalPlan::new(settings.plan),
            settings,
            dialect: Arc::new(dialect),
            calls,
            feed,
            held: None,
            orders: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            departures: Departures::default(),
            versions: BTreeMap::new(),
            outcomes,
            outcome_sender,
            next_lease_attempt: Instant::now(),
        }
    }

    /// Sends orders while they are due and this node holds the lease. Runs forever.
    pub async fn run(mut self) {
        let mut ticks = interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                outcome = self.outcomes.recv() => match outcome {
                    Some(outcome) => self.record_outcome(outcome),
                    None => return,
                },
            }
            self.publish_renewals();
        }
    }

    async fn tick(&mut self) {
        let view = self.feed.latest();
        let term = self.held.map(|held| held.term);
        if view.weights.is_empty() || !is_confirmed_leader(&self.calls, term) {
            self.held = None;
            return;
        }
        if self.held.is_none() {
            self.acquire_lease().await;
        }
        if self.held.is_some_and(|held| Instant::now() >= held.orders_allowed_from) {
            self.dispatch_due(&view);
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.feed.time_origin().elapsed())
    }

    async fn acquire_lease(&mut self) {
        if Instant::now() < self.next_lease_attempt {
            return;
        }
        self.next_lease_attempt = Instant::now() + LEASE_RETRY_DELAY;
        let term = self.calls.view().status.borrow().term;
        let lease = match self.calls.take_order_lease(self.settings.node).await {
            Ok(lease) => lease,
            Err(refusal) => {
                log::warn!("event=order_lease_refused reason=\"{refusal}\"");
                return;
            }
        };
        let wait = match lease.previous {
            Some(_) => self.settings.lease + LEASE_CLOCK_MARGIN,
            None => Duration::ZERO,
        };
        log::info!(
            "event=order_lease_taken token={} term={term} previous={} wait_ms={}",
            lease.token,
            lease.previous.map_or(0, |node| node.0),
            wait.as_millis()
        );
        self.held = Some(HeldLease { lease, term, orders_allowed_from: Instant::now() + wait });
    }

    /// Sends the orders that are due.
    fn dispatch_due(&mut self, view: &FleetView) {
        let servers = self.servers(view);
        for _ in 0..MAX_ORDERS_PER_TICK {
            let next = self.plan.next(&servers, &view.weights, self.now());
            let Some((server, version)) = next else { return };
            let found = view.instances.get(server.instance.name());
            let Some(instance) = found.filter(|known| known.id == server.instance) else { return };
            self.dispatch(&server, version, instance.report.address);
        }
    }

    /// Servers of all models with their known versions.
    fn servers(&self, view: &FleetView) -> Vec<RenewalServer> {
        // Departures count even before they reach the list of servers.
        let is_staying = |instance: &&Arc<Instance>| !self.departures.covers(&instance.id);
        let usable = view.instances.iter().filter(|instance| !instance.silent).filter(is_staying);
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

    fn dispatch(&mut self, server: &RenewalServer, version: u64, address: SocketAddrV4) {
        let Some(held) = self.held else { return };
        let order = Order {
            instance: server.instance.clone(),
            model: server.model.clone(),
            version,
            // Streams run for seconds. Waiting for them would take several servers out of service
            // for that long and overload the others.
            running: RunningRequests::Continue,
            holder: self.settings.name.clone(),
            token: held.lease.token,
            expected_orders: self.orders.get(&server.instance).copied().unwrap_or(0),
        };
        self.plan.record_order(server, version, self.now());
        self.in_flight.insert(order.instance.clone());
        let order_task = OrderTask {
            dialect: Arc::clone(&self.dialect),
            calls: self.calls.clone(),
            term: held.term,
            address,
            order,
            from_version: server.version,
        };
        let outcomes = self.outcome_sender.clone();
        tokio::spawn(async move {
            // The receiver lives as long as the process.
            let _ = outcomes.send(order_task.run().await);
        });
    }

    fn record_outcome(&mut self, outcome: TaskOutcome) {
        let TaskOutcome { order, result, orders } = outcome;
        self.in_flight.remove(&order.instance);
        if let Some(orders) = orders {
            self.orders.insert(order.instance.clone(), orders);
        }
        let now = self.now();
        match result {
            OrderResult::Renewed(version) => {
                self.versions.insert((order.instance, order.model), version);
            }
            OrderResult::Fenced => self.held = None,
            OrderResult::Retry => {
                let weights = (order.model.as_str(), order.version);
                self.plan.postpone(&order.instance, weights, ORDER_RETRY_DELAY, now);
            }
            OrderResult::RetryAfter(backoff) => {
                let weights = (order.model.as_str(), order.version);
                self.plan.postpone(&order.instance, weights, backoff, now);
            }
            OrderResult::Departing => {
                log::info!("event=server_leaving_heard request=- instance={}", order.instance);
                self.departures.add(&Departure::of(&order.instance), now);
            }
            OrderResult::Gone => {}
        }
    }

    /// Publishes the orders in flight and the versions that servers haven't reported yet.
    fn publish_renewals(&mut self) {
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
        self.calls.publish_renewals(Renewals {
            renewing: self.in_flight.clone(),
            versions: self.versions.clone(),
        });
    }
}
