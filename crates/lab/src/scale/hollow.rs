//! Hollow node: a real control plane fed by synthetic engines.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use juniper_protocol::ClusterKey;
use juniper_router::RouterConfig;
use juniper_router::control_plane::ControlPlane;
use juniper_router::engine_observer::EngineObserver;
use juniper_router::in_force::SettingsInForce;
use juniper_router::reachability::Reachability;
use juniper_router::run::RouterError;
use juniper_types::{BlockHash, EngineId, ModelName, NodeId};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::layout::{HostLayout, Node, as_peers, limits};
use super::synthetic::SyntheticEngine;

/// Interval between event batches, as in the daemon's feeds.
const EVENT_INTERVAL: Duration = Duration::from_millis(250);

/// Lookups per second of one node: 3,600 requests/s over 340 nodes.
const LOOKUPS_PER_SECOND: f64 = 3_600.0 / 340.0;

/// Maximum retries to bind an address that an aborted node may still hold.
const MAX_BIND_RETRIES: usize = 100;

/// Delay between attempts to bind.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Distance between the seeds of successive incarnations of an engine.
const INCARNATION_SEED_STEP: u64 = 1 << 32;

/// Counters of a node, summed over all incarnations.
#[derive(Debug, Default)]
pub(super) struct Counters {
    /// Bytes sent by ended incarnations.
    pub(super) sent: AtomicU64,
    /// Bytes received by ended incarnations.
    pub(super) received: AtomicU64,
    /// Lookup bytes of ended incarnations.
    pub(super) lookup_bytes: AtomicU64,
    /// Number of lookups.
    pub(super) lookups: AtomicU64,
    /// Number of lookups that found the engine with the cached prompt.
    pub(super) found: AtomicU64,
    /// Revisions and the times they came into force, in microseconds of Unix time.
    pub(super) in_force: Mutex<Vec<(u64, u64)>>,
}

/// Running hollow node.
pub(super) struct HollowNode {
    pub(super) node: Node,
    pub(super) plane: Arc<ControlPlane>,
    pub(super) reachability: Reachability,
    counters: Arc<Counters>,
    tasks: Vec<JoinHandle<()>>,
}

/// Current Unix time in microseconds; comparable across the processes of a run,
/// which share one machine.
pub(super) fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Builds the configuration of `node`. The caller and operator addresses are
/// placeholders, since a hollow node never opens these listeners.
fn config(node: &Node, layout: &HostLayout) -> Result<RouterConfig, RouterError> {
    let key = ClusterKey::from_text(super::layout::CLUSTER_KEY)?;
    Ok(RouterConfig {
        node: NodeId(node.node),
        zone: node.zone.clone(),
        caller: node.internal,
        operator: node.internal,
        internal: node.internal,
        operator_keys: Vec::new(),
        cluster_key: key,
        control: as_peers(&layout.replicas, 0),
        peers: as_peers(&layout.seeds, node.node),
        data_folder: None,
        limits: limits(),
    })
}

impl HollowNode {
    /// Starts `node`.
    pub(super) async fn start(
        node: &Node,
        layout: &HostLayout,
        counters: &Arc<Counters>,
    ) -> Result<Self, RouterError> {
        let config = Arc::new(config(node, layout)?);
        let reachability = Reachability::default();
        let plane = Arc::new(start_plane(&config, &reachability).await?);
        let tasks = vec![
            tokio::spawn(record_revisions(Arc::clone(&plane), Arc::clone(counters))),
            tokio::spawn(emulate_engines(Arc::clone(&plane), node.node, Arc::clone(counters))),
        ];
        Ok(HollowNode {
            node: node.clone(),
            plane,
            reachability,
            counters: Arc::clone(counters),
            tasks,
        })
    }

    /// Stops the node without a graceful shutdown, like a crash.
    pub(super) async fn abort(self) {
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
        self.counters.sent.fetch_add(self.plane.traffic.sent(), Ordering::Relaxed);
        self.counters.received.fetch_add(self.plane.traffic.received(), Ordering::Relaxed);
        self.counters.lookup_bytes.fetch_add(self.plane.traffic.lookups(), Ordering::Relaxed);
        if let Some(plane) = Arc::into_inner(self.plane) {
            plane.abort().await;
        }
    }
}

/// Starts the control plane; retries while an aborted node still holds the address.
async fn start_plane(
    config: &Arc<RouterConfig>,
    reachability: &Reachability,
) -> Result<ControlPlane, RouterError> {
    let mut retries = 0;
    loop {
        match ControlPlane::start(config, reachability).await {
            Err(RouterError::Listen { .. }) if retries < MAX_BIND_RETRIES => retries += 1,
            started => return started,
        }
        sleep(BIND_RETRY_DELAY).await;
    }
}

async fn record_revisions(plane: Arc<ControlPlane>, counters: Arc<Counters>) {
    let mut view = plane.settings.clone();
    let mut known = 0;
    loop {
        let revision = view.borrow_and_update().in_force.revision.0;
        if revision > known {
            known = revision;
            let mut times = counters.in_force.lock().unwrap_or_else(|held| held.into_inner());
            times.push((revision, unix_micros()));
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Emulates the engines that the node follows, and looks up prompts in the shared
/// knowledge of the zone.
async fn emulate_engines(plane: Arc<ControlPlane>, node: u64, counters: Arc<Counters>) {
    let mut engines: HashMap<EngineId, (SyntheticEngine, EngineObserver)> = HashMap::new();
    let mut ticks = interval(EVENT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut due = 0.0;
    let mut lookup_from = node as usize;
    let mut settings = plane.settings.clone();
    let mut peers = plane.peers.clone();
    settings.mark_changed();
    let mut was_settled = false;
    loop {
        ticks.tick().await;
        let settled = plane.hub.is_settled();
        let changed =
            settings.has_changed().unwrap_or(false) || peers.has_changed().unwrap_or(false);
        if changed || settled != was_settled {
            was_settled = settled;
            let in_force = settings.borrow_and_update().in_force.clone();
            plane.hub.set_peers(&peers.borrow_and_update().clone());
            follow(&plane, &in_force, &mut engines);
        }
        let mut prompts: Vec<(EngineId, Vec<BlockHash>)> = Vec::new();
        for (engine, (synthetic, observer)) in &mut engines {
            let events = synthetic.events(EVENT_INTERVAL);
            let _ = observer.apply_events(synthetic.incarnation(), &events);
            observer.observe_load(&synthetic.load());
            prompts.push((*engine, synthetic.cached_prompt()));
        }
        due += LOOKUPS_PER_SECOND * EVENT_INTERVAL.as_secs_f64();
        while due >= 1.0 && !prompts.is_empty() {
            due -= 1.0;
            lookup_from += 1;
            let (engine, prompt) = &prompts[lookup_from % prompts.len()];
            look_up(&plane, *engine, prompt, &counters).await;
        }
        plane.engines.maintain();
    }
}

/// Looks up a prompt cached by a followed engine. The prompt's checkpoints are
/// spread over the whole zone, so the traffic equals that of any other prompt.
async fn look_up(
    plane: &ControlPlane,
    engine: EngineId,
    prompt: &[BlockHash],
    counters: &Counters,
) {
    let has_checkpoint = !juniper_prefix_index::coarse::checkpoints(prompt).is_empty();
    let holders = plane.hub.holders(prompt).await;
    if has_checkpoint {
        counters.lookups.fetch_add(1, Ordering::Relaxed);
        let found = holders.iter().any(|holder| holder.engine == engine);
        counters.found.fetch_add(u64::from(found), Ordering::Relaxed);
    }
}

/// Starts following the engines assigned to this node, and stops following the others.
fn follow(
    plane: &Arc<ControlPlane>,
    in_force: &SettingsInForce,
    engines: &mut HashMap<EngineId, (SyntheticEngine, EngineObserver)>,
) {
    plane.engines.apply_settings(in_force);
    let plan = plane.hub.follow_plan(in_force);
    engines.retain(|engine, (_, observer)| {
        let keep = plan.followed.contains(engine);
        if !keep {
            observer.stop_following(true);
        }
        keep
    });
    for engine in plan.followed {
        engines.entry(engine).or_insert_with(|| {
            let hub = Some(Arc::clone(&plane.hub));
            let observer = EngineObserver::new(engine, Arc::clone(&plane.engines), hub);
            let model = ModelName::new(juniper_settings::overrides::DEFAULT_MODEL);
            let model = model.unwrap_or_else(|_| unreachable!("the default is a valid name"));
            let seed_base = unix_micros() / 1_000_000 * INCARNATION_SEED_STEP;
            let mut synthetic = SyntheticEngine::new(seed_base + u64::from(engine.0), model);
            observer.observe_load(&synthetic.load());
            observer.apply_snapshot(&synthetic.snapshot());
            (synthetic, observer)
        });
    }
}
