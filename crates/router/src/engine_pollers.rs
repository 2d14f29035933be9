//! Polls engines for load reports and cache events.
//!
//! One actor per engine owns the polling tasks. After a gap in the cache events the
//! index invalidates the engine's entries until the poller has fetched a snapshot.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_prefix_index::EventOutcome;
use juniper_routing::EngineLoad;
use juniper_settings::{BackEnd, BackEndKind};
use juniper_types::{AdapterName, EngineId, ModelName, SoftwareVersion};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn, WeakActorRef};
use kameo::error::ActorStopReason;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::engine_api::{EngineApi, EngineCallError, LoadReport};
use crate::engine_observer::EngineObserver;
use crate::engines::Engines;
use crate::in_force::SettingsInForce;
use crate::peers::PeerView;
use crate::sharing::SharingHub;
use crate::subscription::SettingsView;

/// Time between two load polls of one engine.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Number of consecutive failed load polls after which an engine counts as down.
const FAILURES_UNTIL_DOWN: u32 = 2;

/// Delay after a failed event poll.
const EVENT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Delay after a successful event poll, so that a busy engine's events arrive in batches.
const EVENT_BATCH_DELAY: Duration = Duration::from_millis(50);

/// Time between two maintenance runs of the index.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(20);

/// Actor that polls one engine.
struct EnginePoller {
    reader: EngineReader,
    with_events: bool,
    tasks: Vec<JoinHandle<()>>,
}

/// Parameters of a poller; a change of them restarts the poller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PollerKey {
    engine: EngineId,
    address: SocketAddr,
    /// Whether cache events are polled in addition to load.
    with_events: bool,
    /// Whether the results are shared with the routers of the zone.
    shared: bool,
}

struct PollerArguments {
    key: PollerKey,
    reader: EngineReader,
}

/// Source and destination of one poller's data.
#[derive(Clone)]
struct EngineReader {
    api: EngineApi,
    observer: EngineObserver,
}

impl Actor for EnginePoller {
    type Args = PollerArguments;
    type Error = std::convert::Infallible;

    async fn on_start(
        arguments: PollerArguments,
        _actor: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let PollerArguments { key, reader } = arguments;
        let mut tasks = vec![tokio::spawn(poll_load(reader.clone()))];
        if key.with_events {
            tasks.push(tokio::spawn(poll_events(reader.clone())));
        }
        Ok(EnginePoller { reader, with_events: key.with_events, tasks })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Self::Error> {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.reader.observer.stop_following(self.with_events);
        Ok(())
    }
}

/// Starts and stops pollers when the settings or the group of routers change.
pub async fn manage_pollers(
    mut view: watch::Receiver<SettingsView>,
    mut peers: watch::Receiver<PeerView>,
    http: reqwest::Client,
    engines: Arc<Engines>,
    hub: Arc<SharingHub>,
) {
    let mut pollers: HashMap<PollerKey, ActorRef<EnginePoller>> = HashMap::new();
    loop {
        let in_force = view.borrow_and_update().in_force.clone();
        hub.set_peers(&peers.borrow_and_update().clone());
        engines.apply_settings(&in_force);
        let wanted = wanted_pollers(&in_force, &hub);
        pollers.retain(|key, poller| {
            let keep = wanted.contains(key);
            if !keep {
                poller.kill();
            }
            keep
        });
        for key in wanted {
            pollers.entry(key).or_insert_with(|| {
                let api = EngineApi::new(http.clone(), key.address);
                let hub = key.shared.then(|| Arc::clone(&hub));
                let observer = EngineObserver::new(key.engine, Arc::clone(&engines), hub);
                let reader = EngineReader { api, observer };
                EnginePoller::spawn(PollerArguments { key, reader })
            });
        }
        let changed = tokio::select! {
            changed = view.changed() => changed,
            changed = peers.changed() => changed,
            () = hub.settled(), if !hub.is_settled() => Ok(()),
        };
        if changed.is_err() {
            return;
        }
    }
}

fn wanted_pollers(in_force: &SettingsInForce, hub: &SharingHub) -> HashSet<PollerKey> {
    let plan = hub.follow_plan(in_force);
    let key = |back_end: &BackEnd| {
        let followed = plan.followed.contains(&back_end.id);
        let wanted = followed || plan.sampled.contains(&back_end.id);
        wanted.then_some(PollerKey {
            engine: back_end.id,
            address: back_end.address,
            with_events: followed,
            shared: followed && plan.shared,
        })
    };
    let engines = in_force.back_ends().filter(|(_, back_end)| back_end.kind == BackEndKind::Engine);
    engines.filter_map(|(_, back_end)| key(back_end)).collect()
}

/// Removes expired entries from the index at regular intervals.
pub async fn maintain(engines: Arc<Engines>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        engines.maintain();
    }
}

async fn poll_load(reader: EngineReader) {
    let mut ticks = interval(LOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0;
    let mut weights = None;
    let engine = reader.observer.engine;
    loop {
        ticks.tick().await;
        let report = match reader.api.load().await {
            Ok(report) => report,
            Err(error) => {
                failures += 1;
                if failures == FAILURES_UNTIL_DOWN {
                    log::warn!("event=engine_down engine={engine} reason=\"{error}\"");
                    reader.observer.mark_down();
                }
                continue;
            }
        };
        if failures >= FAILURES_UNTIL_DOWN {
            log::info!("event=engine_up engine={engine} incarnation={}", report.incarnation);
        }
        failures = 0;
        reader.observer.observe_weights((report.incarnation, report.weights), &mut weights);
        reader.observer.observe_load(&engine_load(report));
    }
}

fn engine_load(report: LoadReport) -> EngineLoad {
    let adapters = report.adapters.iter().filter_map(|name| AdapterName::new(name).ok());
    EngineLoad {
        incarnation: report.incarnation,
        age: Duration::from_millis(report.age_ms),
        running: report.running,
        waiting: report.waiting,
        waiting_prompt_tokens: report.waiting_prompt_tokens,
        model: report.model.as_deref().and_then(|name| ModelName::new(name).ok()),
        weights: report.weights,
        adapters: adapters.collect(),
        software: report.software.as_deref().and_then(SoftwareVersion::new),
        leaving: report.leaving,
    }
}

async fn poll_events(reader: EngineReader) {
    loop {
        let delay = match reader.fetch_events().await {
            Ok(()) => EVENT_BATCH_DELAY,
            Err(error) => {
                log::debug!(
                    "event=event_poll_failed engine={} reason=\"{error}\"",
                    reader.observer.engine
                );
                EVENT_RETRY_DELAY
            }
        };
        sleep(delay).await;
    }
}

impl EngineReader {
    async fn fetch_events(&self) -> Result<(), EngineCallError> {
        let engine = self.observer.engine;
        let Some((incarnation, after)) = self.observer.position() else {
            return self.fetch_snapshot().await;
        };
        let batch = self.api.events(incarnation, after).await?;
        match self.observer.apply_events(batch.incarnation, &batch.events) {
            Some(EventOutcome::Gap { missing }) => {
                log::info!("event=cache_event_gap engine={engine} missing={missing}");
                self.fetch_snapshot().await
            }
            Some(EventOutcome::AwaitingSnapshot) => self.fetch_snapshot().await,
            Some(EventOutcome::Applied | EventOutcome::StaleIncarnation) => Ok(()),
            None => {
                log::error!("event=index_full engine={engine}");
                Ok(())
            }
        }
    }

    async fn fetch_snapshot(&self) -> Result<(), EngineCallError> {
        let snapshot = self.api.snapshot().await?;
        log::debug!(
            "event=cache_snapshot engine={} sequence={} blocks={}",
            self.observer.engine,
            snapshot.sequence,
            snapshot.blocks.len()
        );
        self.observer.apply_snapshot(&snapshot);
        Ok(())
    }
}
