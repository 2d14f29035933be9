//! The one who gives orders: holds the lease and talks to the servers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use juniper_control::FleetCalls;
use juniper_control_state::OrderLease;
use juniper_feed::{Feed, FleetView};
use juniper_registry::{Instance, InstanceId};
use juniper_types::{NodeId, Timestamp};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::exchange::{Order, OrderAnswer, OrderDialect, ask_state, give};
use crate::plan::{PlanSettings, RenewalPlan, RenewalServer};

/// Pace at which the plan is looked at.
const PACE: Duration = Duration::from_millis(100);

/// Age of the quorum's last confirmation beyond which this node may have been
/// replaced as leader without knowing.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(900);

/// What is waited beyond the lease of another holder, for clocks that run unevenly.
const LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Pause before the lease is asked for again.
const LEASE_PAUSE: Duration = Duration::from_millis(300);

/// Pause before a server that was busy, or didn't answer, is ordered again.
const BUSY_PAUSE: Duration = Duration::from_millis(700);

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
        OrderGiver {
            plan: RenewalPlan::new(settings.plan),
            settings,
            dialect: Arc::new(dialect),
            calls,
            feed,
            held: None,
            orders: BTreeMap::new(),
            next_lease_try: Instant::now(),
        }
    }

    /// Gives orders whenever that is due and allowed, for ever.
    pub async fn run(mut self) {
        let mut ticks = interval(PACE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let view = self.feed.latest();
            if view.weights.is_empty() || !self.leads() {
                self.held = None;
                continue;
            }
            if self.held.is_none() {
                self.take_lease().await;
            }
            let ready = self.held.is_some_and(|held| Instant::now() >= held.from);
            if ready {
                self.give_next(&view).await;
            }
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.feed.started().elapsed())
    }

    /// Whether this node leads in the term of its lease, and a quorum has
    /// confirmed so just now.
    fn leads(&self) -> bool {
        let view = self.calls.view();
        let status = view.status.borrow();
        let same_term = self.held.is_none_or(|held| held.term == status.term);
        let confirmed =
            view.confirmed_at.borrow().is_some_and(|at| at.elapsed() < CONFIRMED_WITHIN);
        status.is_leader() && same_term && confirmed
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

    async fn give_next(&mut self, view: &FleetView) {
        let servers = renewal_servers(view);
        let now = self.now();
        let Some((server, version)) = self.plan.next(&servers, &view.weights, now) else { return };
        let found = view.instances.iter().find(|known| known.report.id == server.instance);
        let Some(instance) = found else { return };
        self.give(instance, &server, version).await;
    }

    async fn give(&mut self, instance: &Instance, server: &RenewalServer, version: u64) {
        let Some(held) = self.held else { return };
        let address = instance.report.address;
        let order = Order {
            instance: server.instance.clone(),
            model: server.model.clone(),
            version,
            holder: self.settings.name.clone(),
            token: held.lease.token,
            expected_orders: self.orders.get(&server.instance).copied().unwrap_or(0),
        };
        self.plan.ordered(&order.instance, version, self.now());
        let answer = give(&*self.dialect, address, &order).await;
        let shown = match &answer {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => error.to_string(),
        };
        log::info!(
            "event=order_given instance={} model={} version={version} from_version={} token={} \
             expected_orders={} answer=\"{shown}\"",
            order.instance,
            order.model,
            server.version,
            order.token,
            order.expected_orders
        );
        match answer {
            Ok(OrderAnswer::Taken) => {
                self.orders.insert(order.instance, order.expected_orders + 1);
            }
            Ok(OrderAnswer::AlreadyDone | OrderAnswer::Refused(_) | OrderAnswer::OtherServer) => {}
            Ok(OrderAnswer::Fenced) => self.held = None,
            Ok(OrderAnswer::Conflict) | Err(_) => self.learn_state(&order, address).await,
        }
    }

    /// Asks a server what it has taken, since it is not as believed.
    async fn learn_state(&mut self, order: &Order, address: std::net::SocketAddrV4) {
        let state = ask_state(&*self.dialect, address).await;
        let now = self.now();
        match state {
            Ok(state) => {
                log::info!(
                    "event=order_state instance={} orders={} busy={}",
                    order.instance,
                    state.orders,
                    state.busy
                );
                self.orders.insert(order.instance.clone(), state.orders);
            }
            Err(error) => {
                log::warn!(
                    "event=order_state_unknown instance={} reason=\"{error}\"",
                    order.instance
                );
            }
        }
        self.plan.postpone(&order.instance, order.version, BUSY_PAUSE, now);
    }
}

/// The servers of all models, once each.
fn renewal_servers(view: &FleetView) -> Vec<RenewalServer> {
    let mut seen = BTreeSet::new();
    let usable = view.instances.iter().filter(|instance| !instance.silent);
    let held = usable.flat_map(|instance| {
        instance.report.models.iter().map(|held| RenewalServer {
            instance: instance.report.id.clone(),
            model: held.model.clone(),
            version: held.version,
        })
    });
    held.filter(|server| seen.insert((server.instance.clone(), server.model.clone()))).collect()
}
