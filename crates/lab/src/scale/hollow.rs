//! One hollow node: a real control plane fed by synthetic engines.

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

/// Time between two batches of events, as the daemon's feeds batch them.
const EVENT_INTERVAL: Duration = Duration::from_millis(250);

/// Lookups of one node in a second: 3,600 requests over 340 nodes.
const LOOKUPS_PER_SECOND: f64 = 3_600.0 / 340.0;

/// Tries to open an address that an aborted node may still hold.
const MAX_BIND_TRIES: usize = 100;

/// Pause between two of them.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// Keeps seeds of different nodes' engines apart.
const LIFE_STEP: u64 = 1 << 32;

/// What a node did, summed over all of its lives.
#[derive(Debug, Default)]
pub(super) struct Counters {
    /// Bytes sent by lives that have ended.
    pub(super) sent: AtomicU64,
    /// Bytes received by lives that have ended.
    pub(super) received: AtomicU64,
    /// Bytes of lookups of lives that have ended.
    pub(super) lookup_bytes: AtomicU64,
    /// Lookups made.
    pub(super) lookups: AtomicU64,
    /// Lookups that found the engine which holds the prompt.
    pub(super) found: AtomicU64,
    /// Revisions with the time they came into force, in microseconds of Unix time.
    pub(super) in_force: Mutex<Vec<(u64, u64)>>,
}

/// A node that runs.
pub(super) struct HollowNode {
    pub(super) node: Node,
    pub(super) plane: Arc<ControlPlane>,
    pub(super) reachability: Reachability,
    counters: Arc<Counters>,
    tasks: Vec<JoinHandle<()>>,
}

/// Microseconds of Unix time; all processes of a run share one clock.
pub(super) fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// The faces of callers and operators are never opened, so their addresses
/// don't matter.
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
            tokio::spawn(note_revisions(Arc::clone(&plane), Arc::clone(counters))),
            tokio::spawn(feed(Arc::clone(&plane), node.node, Arc::clone(counters))),
        ];
        Ok(HollowNode {
            node: node.clone(),
            plane,
            reachability,
            counters: Arc::clone(counters),
            tasks,
        })
    }

    /// Stops the node as a crash would.
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

/// A node that was just aborted may hold its address a moment longer.
async fn start_plane(
    config: &Arc<RouterConfig>,
    reachability: &Reachability,
) -> Result<ControlPlane, RouterError> {
    let mut tries = 0;
    loop {
        match ControlPlane::start(config, reachability).await {
            Err(RouterError::Listen { .. }) if tries < MAX_BIND_TRIES => tries += 1,
            started => return started,
        }
        sleep(BIND_PAUSE).await;
    }
}

async fn note_revisions(plane: Arc<ControlPlane>, counters: Arc<Counters>) {
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

/// Plays the engines that the node follows, and looks up prompts that other
/// engines of its zone hold.
async fn feed(plane: Arc<ControlPlane>, node: u64, counters: Arc<Counters>) {
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
            prompts.push((*engine, synthetic.held_prompt()));
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

/// Every prompt asked for is one that a followed engine holds: its checkpoints
/// belong to the whole zone, so the messages are those of any other prompt.
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

/// Takes over engines that the group assigns to this node, and drops the others.
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
            let life = unix_micros() / 1_000_000 * LIFE_STEP;
            let mut synthetic = SyntheticEngine::new(life + u64::from(engine.0), model);
            observer.observe_load(&synthetic.load());
            observer.apply_snapshot(&synthetic.snapshot());
            (synthetic, observer)
        });
    }
}
