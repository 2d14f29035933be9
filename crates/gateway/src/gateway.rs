//! State shared by all requests of a gateway.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniper_admission::{ConnectTimes, LinkLoad};
use juniper_catalog::{Catalog, EngineProfile, Route, WeightedSplit};
use juniper_clock::BootInstant;
use juniper_crash_watch::CrashWatch;
use juniper_feed::{Feed, FleetView};
use juniper_intake::{CallerMemory, Connections};
use juniper_limits::FleetShare;
use juniper_memory_budget::BudgetLimits;
use juniper_placement::{ModelKey, Placement, RetryBudget, ServiceProfile};
use juniper_registry::InstanceId;
use juniper_stream_origins::SoftwareHistory;
use juniper_tunnel_peers::TunnelPeers;
use juniper_types::Timestamp;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::counted_stream::LinkCounters;
use crate::dialect::Dialect;
use crate::lifecycle::ShutdownPhase;
use crate::limits::Limits;
use crate::lock::lock;
use crate::metrics::Metrics;
use crate::pool::{ConnectError, Pool, open_stream};
use crate::resume::OwnOrigins;
use crate::returns::Returns;
use crate::settings::GatewaySettings;
use crate::startup::StartupQueue;
use crate::updates::UpdateQueue;

/// Share of a server's connections that all routers together may open. The rest is left to health
/// checks, orders and routers that have just started.
const CONNECTION_SHARE: f64 = 0.7;

/// Connections to a server whose service configures no maximum.
const DEFAULT_CONNECTION_LIMIT: u32 = 64;

/// Average share of a link's bandwidth that a KV transfer gets: links between zones are half as
/// fast, and transfers queue.
const LINK_SHARE: f64 = 0.5;

/// Minimum time between two updates of the placement. During a rollout of new weights views change
/// dozens of times per second, and the cost of an update grows with the number of servers.
const MIN_VIEW_INTERVAL: Duration = Duration::from_millis(30);

/// Interval between two sweeps of idle connections, and between two reports of retry budgets.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the retry budget is told that this process runs.
const RUNNING_INTERVAL: Duration = Duration::from_millis(100);

/// State shared by all requests.
pub(crate) struct Gateway {
    pub settings: GatewaySettings,
    pub dialect: Box<dyn Dialect>,
    pub feed: Feed,
    pub pool: Pool,
    pub metrics: Metrics,
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// Updates not yet published to the other routers.
    pub updates: UpdateQueue,
    /// Requests that wait for the first confirmed configuration.
    pub startup: StartupQueue,
    /// Tenants' limits.
    pub limits: Arc<Limits>,
    /// Returns of refused callers.
    pub returns: Returns,
    /// Evidence of requests that crash servers.
    pub crashes: Arc<CrashWatch>,
    /// Origins of the streams that this router began.
    pub origins: OwnOrigins,
    /// Software versions that servers have run recently.
    pub software_history: Mutex<SoftwareHistory>,
    /// Notified when a connection has failed or broken, so that probes are sent at once.
    pub probes_due: Notify,
    /// Number of fleet views that the placement has applied.
    pub applied_views: watch::Sender<u64>,
    /// Bytes exchanged with callers and servers.
    pub link_counters: LinkCounters,
    /// Memory that callers make this process hold.
    pub memory: CallerMemory,
    /// Connections of callers.
    pub connections: Connections,
    link: Mutex<LinkLoad>,
    connect_times: Mutex<ConnectTimes>,
    placement: Mutex<Placement>,
    tunnel_peers: Mutex<TunnelPeers>,
    retry_budget: Mutex<RetryBudget>,
    splits: Mutex<HashMap<String, WeightedSplit>>,
    /// When the gateway was started.
    pub(crate) started: BootInstant,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Box<dyn Dialect>,
        feed: Feed,
        metrics: Metrics,
        shutdown: watch::Receiver<ShutdownPhase>,
    ) -> Self {
        let memory = CallerMemory::new(BudgetLimits::of_machine(settings.machine));
        Gateway {
            connections: Connections::new(memory.clone()),
            memory,
            placement: Mutex::new(Placement::new(settings.zone.clone())),
            tunnel_peers: Mutex::new(TunnelPeers::new(settings.zone.clone())),
            retry_budget: Mutex::new(RetryBudget::new(settings.retry)),
            splits: Mutex::default(),
            started: BootInstant::now(),
            probes_due: Notify::new(),
            link_counters: LinkCounters::default(),
            connect_times: Mutex::default(),
            link: Mutex::new(LinkLoad::new(settings.link_bytes_per_second)),
            updates: UpdateQueue::default(),
            origins: OwnOrigins::default(),
            software_history: Mutex::default(),
            startup: StartupQueue::default(),
            limits: Arc::default(),
            returns: Returns::default(),
            pool: Pool::default(),
            crashes: Arc::new(CrashWatch::new(feed.clone(), metrics.crashes.clone())),
            applied_views: watch::Sender::new(0),
            settings,
            dialect,
            feed,
            metrics,
            shutdown,
        }
    }

    /// Time since the feed was started, as `Timestamp`.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.feed.time_origin().elapsed())
    }

    /// Time since the gateway was started, including time in which the machine was suspended.
    pub(crate) fn now_with_suspensions(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Locks the placement. The guard must not be held across an await.
    pub(crate) fn placement(&self) -> MutexGuard<'_, Placement> {
        lock(&self.placement)
    }

    /// Locks the routers that may open tunnels. The guard must not be held across an await.
    pub(crate) fn tunnel_peers(&self) -> MutexGuard<'_, TunnelPeers> {
        lock(&self.tunnel_peers)
    }

    /// Locks the retry budget. The guard must not be held across an await.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Whether the gateway accepts new callers.
    pub(crate) fn is_ready(&self) -> bool {
        let age = self.feed.confirmation_age();
        let is_current = age.is_some_and(|age| age < self.settings.ready_age_limit());
        *self.shutdown.borrow() == ShutdownPhase::Running && self.has_started() && is_current
    }

    /// Measures the load of this router's link. The guard must not be held across an await.
    pub(crate) fn measure_link(&self) -> MutexGuard<'_, LinkLoad> {
        let mut link = lock(&self.link);
        link.measure(self.link_counters.totals(), self.now());
        link
    }

    /// Whether the link has room for the request of another connection.
    pub(crate) fn accepts_connections(&self) -> bool {
        self.measure_link().accepts_connections(self.now())
    }

    /// Whether time-outs may be due to this router's own link.
    pub(crate) fn is_congested(&self) -> bool {
        let now = self.now();
        self.measure_link().is_congested(now) || lock(&self.connect_times).is_slow(now)
    }

    /// Opens a TCP connection to a server.
    pub(crate) async fn open_server_stream(
        &self,
        address: SocketAddrV4,
    ) -> Result<TcpStream, ConnectError> {
        let started_at = self.now();
        let connect_timeout = lock(&self.connect_times).timeout(started_at);
        let result = open_stream(address, connect_timeout).await;
        let now = self.now();
        if matches!(result, Err(ConnectError::Timeout)) {
            lock(&self.connect_times).record_timeout(now.since(started_at), now);
        }
        let stream = result?;
        lock(&self.connect_times).record(now.since(started_at), now);
        Ok(stream)
    }

    /// Picks the service for the next request of the route.
    pub(crate) fn pick_service(&self, route: &Route) -> Option<String> {
        let mut splits = lock(&self.splits);
        if !splits.contains_key(&route.name) {
            splits.insert(route.name.clone(), WeightedSplit::default());
        }
        let position = splits.get_mut(&route.name)?.pick(&route.split)?;
        route.split.get(position).map(|part| part.service.clone())
    }

    /// Maximum number of connections that this router may open to one server of the service.
    pub(crate) fn connection_limit(&self, view: &FleetView, service: &str) -> u32 {
        let service = view.catalog.as_ref().and_then(|index| index.service(service));
        let configured = service.map_or(0, |service| service.max_connections);
        if configured == 0 {
            return DEFAULT_CONNECTION_LIMIT;
        }
        // At least one; a higher minimum would let routers together exceed what the server accepts.
        let for_requests = (f64::from(configured) * CONNECTION_SHARE) as u32;
        FleetShare::even(self.feed.router_count()).of_count(for_requests)
    }

    /// Applies each view that the feed publishes, and sweeps idle connections. Runs until the feed
    /// ends.
    pub(crate) async fn follow_feed(self: Arc<Self>) {
        let mut view = self.feed.view();
        let mut sweep = interval(IDLE_SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut running = interval(RUNNING_INTERVAL);
        running.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let latest = Arc::clone(&view.borrow_and_update());
                    self.apply_view(&latest);
                    sleep(MIN_VIEW_INTERVAL).await;
                }
                _ = running.tick() => {
                    self.retry_budget().record_running(self.now_with_suspensions());
                    let own_hash = self.feed.identity().node.0;
                    self.placement().set_routers(self.feed.router_count(), own_hash);
                    self.follow_contact();
                }
                _ = sweep.tick() => {
                    self.sweep();
                    self.log_retry_budgets();
                }
            }
        }
    }

    fn apply_view(&self, view: &FleetView) {
        lock(&self.software_history).update(&view.instances, self.now_with_suspensions());
        let mut placement = self.placement();
        placement.set_instances(&view.instances);
        placement.set_profiles(service_profiles(view));
        placement.set_renewing(&view.renewing);
        for known in view.versions.iter() {
            let model = ModelKey::of(&known.model);
            placement.observe_version(&known.id(), model, known.version);
        }
        drop(placement);
        if let Some(index) = &view.catalog {
            self.set_tight_services(index.catalog());
        }
        self.crashes.apply_view(view);
        self.applied_views.send_modify(|count| *count += 1);
    }

    /// Updates how far the history of software versions is complete. Servers may come and go unnoticed
    /// while this router has no current replica; none has served before the first configuration.
    fn follow_contact(&self) {
        let age = self.feed.confirmation_age();
        let is_current = age.is_some_and(|age| age < self.settings.rejection_age_limit());
        let mut history = lock(&self.software_history);
        match is_current {
            true if self.feed.latest().catalog_version() == 0 => history.mark_founded(),
            true => history.resume(self.now_with_suspensions()),
            false => history.interrupt(),
        }
    }

    fn set_tight_services(&self, catalog: &Catalog) {
        let tight = catalog.services.iter().filter(|service| catalog.is_tight(service));
        let tight: Vec<&str> = tight.map(|service| service.name.as_str()).collect();
        self.returns.set_services(&tight);
    }

    fn sweep(&self) {
        self.metrics.count_promises(self.returns.take_counts());
        let view = self.feed.latest();
        let is_used =
            |id: &InstanceId| view.instances.get(id.name()).is_some_and(|known| known.id == *id);
        self.pool.sweep(is_used);
    }
}

/// Profiles of the services that run model engines or have tight objectives.
fn service_profiles(view: &FleetView) -> HashMap<String, ServiceProfile> {
    let Some(index) = &view.catalog else { return HashMap::new() };
    let catalog = index.catalog();
    let stores = catalog.services.iter().filter_map(|service| service.store.as_ref());
    let stores: Vec<_> = stores.map(|store| store.address).collect();
    let profiles = catalog.services.iter().filter_map(|service| {
        let is_tight = catalog.is_tight(service);
        let profile = match &service.engine {
            Some(engine) => engine_profile(engine, stores.clone(), is_tight),
            None if is_tight => ServiceProfile { is_tight, ..ServiceProfile::default() },
            None => return None,
        };
        Some((service.name.clone(), profile))
    });
    profiles.collect()
}

/// Cost of KV transfers and cache size of a service with model engines.
fn engine_profile(
    engine: &EngineProfile,
    stores: Vec<SocketAddrV4>,
    is_tight: bool,
) -> ServiceProfile {
    let bits_per_ms = engine.link_mbps * 1_000.0 * LINK_SHARE;
    let bits = engine.token_bytes as f64 * 8.0;
    let transfer_ms_per_token = if bits_per_ms > 0.0 { bits / bits_per_ms } else { 0.0 };
    ServiceProfile { transfer_ms_per_token, cache_tokens: engine.cache_tokens, stores, is_tight }
}
