//! Follows each engine: its load reports and its cache events.
//!
//! One actor for each engine of the settings in force owns two polling tasks.
//! Reports come late and events have gaps; on a gap the pure index stops
//! counting the engine's entries and the feed takes a snapshot.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_prefix_index::EventOutcome;
use juniper_routing::EngineLoad;
use juniper_settings::{BackEnd, BackEndKind};
use juniper_types::{AdapterName, EngineId, Incarnation, ModelName, WeightsVersion};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn, WeakActorRef};
use kameo::error::ActorStopReason;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::engine_api::{EngineApi, EngineCallError, LoadReport};
use crate::engines::Engines;
use crate::in_force::InForce;
use crate::peers::PeerView;
use crate::sharing::SharingHub;
use crate::subscription::SettingsView;

/// Time between two load reports of one engine.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Failed load polls after which an engine counts as down.
const FAILURES_UNTIL_DOWN: u32 = 2;

/// Pause after a failed event poll.
const EVENT_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Shortest time between two event polls, so that a busy engine's events come in batches.
const EVENT_BATCH_PAUSE: Duration = Duration::from_millis(50);

/// Time between two rounds of upkeep of the index.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(20);

/// Follows one engine as long as it lives.
struct EngineFeed {
    reader: EngineReader,
    with_events: bool,
    tasks: Vec<JoinHandle<()>>,
}

/// What a feed is for; a feed whose key changes is started anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FeedKey {
    engine: EngineId,
    address: SocketAddr,
    /// Whether cache events are read besides load.
    with_events: bool,
    /// Whether what is read is passed on to the zone.
    shared: bool,
}

struct FeedArguments {
    key: FeedKey,
    reader: EngineReader,
}

/// Where a feed reads, and where it puts what it reads.
#[derive(Clone)]
struct EngineReader {
    engine: EngineId,
    api: EngineApi,
    engines: Arc<Engines>,
    /// Set when the engine's knowledge is passed on to the zone.
    hub: Option<Arc<SharingHub>>,
}

impl Actor for EngineFeed {
    type Args = FeedArguments;
    type Error = std::convert::Infallible;

    async fn on_start(
        arguments: FeedArguments,
        _actor: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let FeedArguments { key, reader } = arguments;
        let mut tasks = vec![tokio::spawn(follow_load(reader.clone()))];
        if key.with_events {
            tasks.push(tokio::spawn(follow_events(reader.clone())));
        }
        Ok(EngineFeed { reader, with_events: key.with_events, tasks })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Self::Error> {
        self.tasks.iter().for_each(JoinHandle::abort);
        if let Some(hub) = &self.reader.hub {
            hub.unfollow(self.reader.engine);
        }
        // Nobody applies events from here on; the next feed begins with a snapshot.
        if self.with_events {
            self.reader.engines.void_cache(self.reader.engine);
        }
        Ok(())
    }
}

/// Starts and stops feeds as settings and group change.
pub async fn follow_settings(
    mut view: watch::Receiver<SettingsView>,
    mut peers: watch::Receiver<PeerView>,
    http: reqwest::Client,
    engines: Arc<Engines>,
    hub: Arc<SharingHub>,
) {
    let mut feeds: HashMap<FeedKey, ActorRef<EngineFeed>> = HashMap::new();
    loop {
        let in_force = view.borrow_and_update().in_force.clone();
        hub.set_peers(&peers.borrow_and_update().clone());
        engines.follow(&in_force);
        let wanted = wanted_feeds(&in_force, &hub);
        feeds.retain(|key, feed| {
            let keep = wanted.contains(key);
            if !keep {
                feed.kill();
            }
            keep
        });
        for key in wanted {
            feeds.entry(key).or_insert_with(|| {
                let api = EngineApi::new(http.clone(), key.address);
                let hub = key.shared.then(|| Arc::clone(&hub));
                let engines = Arc::clone(&engines);
                let reader = EngineReader { engine: key.engine, api, engines, hub };
                EngineFeed::spawn(FeedArguments { key, reader })
            });
        }
        let changed = tokio::select! {
            changed = view.changed() => changed,
            changed = peers.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

fn wanted_feeds(in_force: &InForce, hub: &SharingHub) -> HashSet<FeedKey> {
    let plan = hub.follow_plan(in_force);
    let key = |back_end: &BackEnd| {
        let followed = plan.followed.contains(&back_end.id);
        let wanted = followed || plan.sampled.contains(&back_end.id);
        wanted.then_some(FeedKey {
            engine: back_end.id,
            address: back_end.address,
            with_events: followed,
            shared: followed && plan.shared,
        })
    };
    let engines = in_force.back_ends().filter(|(_, back_end)| back_end.kind == BackEndKind::Engine);
    engines.filter_map(|(_, back_end)| key(back_end)).collect()
}

/// Keeps the index tidy.
pub async fn maintain(engines: Arc<Engines>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        engines.maintain();
    }
}

async fn follow_load(reader: EngineReader) {
    let mut ticks = interval(LOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0;
    let mut weights = None;
    let engine = reader.engine;
    loop {
        ticks.tick().await;
        let report = match reader.api.load().await {
            Ok(report) => report,
            Err(error) => {
                failures += 1;
                if failures == FAILURES_UNTIL_DOWN {
                    log::warn!("event=engine_down engine={engine} reason=\"{error}\"");
                    reader.mark_down();
                }
                continue;
            }
        };
        if failures >= FAILURES_UNTIL_DOWN {
            log::info!("event=engine_up engine={engine} incarnation={}", report.incarnation);
        }
        failures = 0;
        reader.note_weights(&report, &mut weights);
        reader.note_load(&engine_load(report));
    }
}

impl EngineReader {
    fn note_load(&self, load: &EngineLoad) {
        self.engines.report(self.engine, load);
        if let Some(hub) = &self.hub {
            hub.load(self.engine, load);
        }
    }

    fn mark_down(&self) {
        self.engines.mark_down(self.engine);
        if let Some(hub) = &self.hub {
            hub.mark_down(self.engine);
        }
    }

    /// Entries of older weights stop counting with the first report of newer ones.
    fn note_weights(&self, report: &LoadReport, known: &mut Option<(Incarnation, WeightsVersion)>) {
        let now = (report.incarnation, report.weights);
        let switched = known.is_some_and(|(life, weights)| life == now.0 && weights != now.1);
        if switched {
            log::info!("event=weights_switched engine={} weights={}", self.engine, report.weights);
            self.engines.void_cache(self.engine);
            if let Some(hub) = &self.hub {
                hub.void_cache(self.engine);
            }
        }
        *known = Some(now);
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
        leaving: report.leaving,
    }
}

async fn follow_events(reader: EngineReader) {
    loop {
        let pause = match reader.take_events().await {
            Ok(()) => EVENT_BATCH_PAUSE,
            Err(error) => {
                log::debug!("event=event_poll_failed engine={} reason=\"{error}\"", reader.engine);
                EVENT_RETRY_PAUSE
            }
        };
        sleep(pause).await;
    }
}

impl EngineReader {
    async fn take_events(&self) -> Result<(), EngineCallError> {
        let engine = self.engine;
        let Some((incarnation, after)) = self.engines.position(engine) else {
            return self.take_snapshot().await;
        };
        let batch = self.api.events(incarnation, after).await?;
        match self.engines.apply_events(engine, batch.incarnation, &batch.events) {
            Some(EventOutcome::Applied) => {
                if let Some(hub) = &self.hub {
                    hub.cache_events(engine, batch.incarnation, &batch.events);
                }
                Ok(())
            }
            Some(EventOutcome::Gap { missing }) => {
                log::info!("event=cache_event_gap engine={engine} missing={missing}");
                // Entries in doubt stop counting on every router, not only here.
                if let Some(hub) = &self.hub {
                    hub.void_cache(engine);
                }
                self.take_snapshot().await
            }
            Some(EventOutcome::AwaitingSnapshot) => self.take_snapshot().await,
            Some(EventOutcome::StaleIncarnation) => Ok(()),
            None => {
                log::error!("event=index_full engine={engine}");
                Ok(())
            }
        }
    }

    async fn take_snapshot(&self) -> Result<(), EngineCallError> {
        let snapshot = self.api.snapshot().await?;
        log::debug!(
            "event=cache_snapshot engine={} sequence={} blocks={}",
            self.engine,
            snapshot.sequence,
            snapshot.blocks.len()
        );
        self.engines.apply_snapshot(self.engine, &snapshot);
        if let Some(hub) = &self.hub {
            hub.cache_snapshot(self.engine, &snapshot);
        }
        Ok(())
    }
}
