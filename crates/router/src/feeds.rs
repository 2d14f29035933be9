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
use juniper_types::{AdapterName, EngineId, ModelName};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn, WeakActorRef};
use kameo::error::ActorStopReason;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::engine_api::{EngineApi, EngineCallError, LoadReport};
use crate::engines::Engines;
use crate::in_force::InForce;
use crate::knowledge::EngineKnowledge;
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
    api: EngineApi,
    knowledge: EngineKnowledge,
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
        self.reader.knowledge.stop_following(self.with_events);
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
                let knowledge = EngineKnowledge::new(key.engine, Arc::clone(&engines), hub);
                let reader = EngineReader { api, knowledge };
                EngineFeed::spawn(FeedArguments { key, reader })
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
    let engine = reader.knowledge.engine;
    loop {
        ticks.tick().await;
        let report = match reader.api.load().await {
            Ok(report) => report,
            Err(error) => {
                failures += 1;
                if failures == FAILURES_UNTIL_DOWN {
                    log::warn!("event=engine_down engine={engine} reason=\"{error}\"");
                    reader.knowledge.mark_down();
                }
                continue;
            }
        };
        if failures >= FAILURES_UNTIL_DOWN {
            log::info!("event=engine_up engine={engine} incarnation={}", report.incarnation);
        }
        failures = 0;
        reader.knowledge.note_weights((report.incarnation, report.weights), &mut weights);
        reader.knowledge.note_load(&engine_load(report));
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
                log::debug!(
                    "event=event_poll_failed engine={} reason=\"{error}\"",
                    reader.knowledge.engine
                );
                EVENT_RETRY_PAUSE
            }
        };
        sleep(pause).await;
    }
}

impl EngineReader {
    async fn take_events(&self) -> Result<(), EngineCallError> {
        let engine = self.knowledge.engine;
        let Some((incarnation, after)) = self.knowledge.position() else {
            return self.take_snapshot().await;
        };
        let batch = self.api.events(incarnation, after).await?;
        match self.knowledge.apply_events(batch.incarnation, &batch.events) {
            Some(EventOutcome::Gap { missing }) => {
                log::info!("event=cache_event_gap engine={engine} missing={missing}");
                self.take_snapshot().await
            }
            Some(EventOutcome::AwaitingSnapshot) => self.take_snapshot().await,
            Some(EventOutcome::Applied | EventOutcome::StaleIncarnation) => Ok(()),
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
            self.knowledge.engine,
            snapshot.sequence,
            snapshot.blocks.len()
        );
        self.knowledge.apply_snapshot(&snapshot);
        Ok(())
    }
}
