//! What every request of the gateway needs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniper_catalog::{Route, WeightedSplit};
use juniper_crash_watch::CrashWatch;
use juniper_feed::{Feed, FleetView};
use juniper_limits::FleetShare;
use juniper_placement::{Placement, RetryBudget, ServiceProfile};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::dialect::Dialect;
use crate::life::Stop;
use crate::limits::Limits;
use crate::lock::lock;
use crate::metrics::Metrics;
use crate::news::NewsQueue;
use crate::pool::Pool;
use crate::settings::GatewaySettings;
use crate::starting::StartQueue;

/// Part of a server's connections that all routers together open. The rest is
/// for health checks and orders, and for routers that have just started.
const CONNECTION_PART: f64 = 0.7;

/// Connections to a server that states no bound.
const USUAL_CONNECTIONS: u32 = 64;

/// Part of the speed of a link that a move has, on average: ways between zones
/// are half as fast, and moves wait for one another.
const LINK_PART: f64 = 0.5;

/// Shortest time between two views that are taken over. While weights are rolled out, views
/// change dozens of times a second, and each is in proportion to the number of servers.
const TAKE_OVER_PAUSE: Duration = Duration::from_millis(30);

/// Time between two looks for idle connections to close.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What every request needs.
pub(crate) struct Gateway {
    pub settings: GatewaySettings,
    pub dialect: Box<dyn Dialect>,
    pub feed: Feed,
    pub pool: Pool,
    pub metrics: Metrics,
    pub stop: watch::Receiver<Stop>,
    /// What the other routers haven't been told yet.
    pub news: NewsQueue,
    /// Requests that wait for the first confirmation.
    pub starting: StartQueue,
    /// Limits of tenants.
    pub limits: Limits,
    /// Requests under which servers ended.
    pub crashes: Arc<CrashWatch>,
    /// Counts the views of the fleet that the placement has taken over.
    pub views_taken: watch::Sender<u64>,
    placement: Mutex<Placement>,
    budget: Mutex<RetryBudget>,
    splits: Mutex<HashMap<String, WeightedSplit>>,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Box<dyn Dialect>,
        feed: Feed,
        metrics: Metrics,
        stop: watch::Receiver<Stop>,
    ) -> Self {
        Gateway {
            placement: Mutex::new(Placement::new(settings.zone.clone())),
            budget: Mutex::new(RetryBudget::new(settings.retry)),
            splits: Mutex::default(),
            news: NewsQueue::default(),
            starting: StartQueue::default(),
            limits: Limits::default(),
            pool: Pool::default(),
            crashes: Arc::new(CrashWatch::new(feed.clone(), metrics.crashes.clone())),
            views_taken: watch::Sender::new(0),
            settings,
            dialect,
            feed,
            metrics,
            stop,
        }
    }

    /// The time as the pure crates see it.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.feed.time_origin().elapsed())
    }

    /// The servers. The guard must not be held across an await.
    pub(crate) fn placement(&self) -> MutexGuard<'_, Placement> {
        lock(&self.placement)
    }

    /// The retry budget. The guard must not be held across an await.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let age = self.feed.confirmation_age();
        let is_current = age.is_some_and(|age| age < self.settings.ready_age_limit());
        *self.stop.borrow() == Stop::Running && self.has_started() && is_current
    }

    /// The service that takes the next request of the route.
    pub(crate) fn pick_service(&self, route: &Route) -> Option<String> {
        let mut splits = lock(&self.splits);
        if !splits.contains_key(&route.name) {
            splits.insert(route.name.clone(), WeightedSplit::default());
        }
        let place = splits.get_mut(&route.name)?.pick(&route.split)?;
        route.split.get(place).map(|part| part.service.clone())
    }

    /// Most connections that this node may have open to one server of the service.
    pub(crate) fn connection_limit(&self, view: &FleetView, service: &str) -> u32 {
        let service = view.catalog.as_ref().and_then(|index| index.service(service));
        let stated = service.map_or(0, |service| service.max_connections);
        if stated == 0 {
            return USUAL_CONNECTIONS;
        }
        // One at least; a higher floor would add up to more than the server accepts.
        let for_requests = (f64::from(stated) * CONNECTION_PART) as u32;
        FleetShare::even(self.feed.router_count()).of_count(for_requests)
    }

    /// Takes over what the feed publishes, and closes idle connections, for ever.
    pub(crate) async fn follow_feed(self: Arc<Self>) {
        let mut view = self.feed.view();
        let mut sweep = interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let latest = Arc::clone(&view.borrow_and_update());
                    self.take_over(&latest);
                    sleep(TAKE_OVER_PAUSE).await;
                }
                _ = sweep.tick() => self.sweep(),
            }
        }
    }

    fn take_over(&self, view: &FleetView) {
        let mut placement = self.placement();
        placement.set_instances(&view.instances);
        placement.set_profiles(service_profiles(view));
        placement.set_renewing(&view.renewing);
        for known in view.versions.iter() {
            placement.saw_version(&known.id(), known.version);
        }
        drop(placement);
        self.crashes.apply_view(view);
        self.views_taken.send_modify(|taken| *taken += 1);
    }

    fn sweep(&self) {
        let view = self.feed.latest();
        let is_used =
            |id: &InstanceId| view.instances.get(id.name()).is_some_and(|known| known.id == *id);
        self.pool.sweep(is_used);
    }
}

/// What moves of memory cost at each service with model engines.
fn service_profiles(view: &FleetView) -> HashMap<String, ServiceProfile> {
    let Some(index) = &view.catalog else { return HashMap::new() };
    let services = &index.catalog().services;
    let stores = services.iter().filter_map(|service| service.store.as_ref());
    let stores: Vec<_> = stores.map(|store| store.address).collect();
    let engines = services.iter().filter_map(|service| {
        let engine = service.engine.as_ref()?;
        let bits_per_ms = engine.link_mbps * 1_000.0 * LINK_PART;
        let bits = engine.token_bytes as f64 * 8.0;
        let move_ms = if bits_per_ms > 0.0 { bits / bits_per_ms } else { 0.0 };
        let (cache_tokens, stores) = (engine.cache_tokens, stores.clone());
        Some((service.name.clone(), ServiceProfile { move_ms, cache_tokens, stores }))
    });
    engines.collect()
}
