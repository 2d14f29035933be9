//! Follows each engine: its load reports and its cache events.
//!
//! One actor for each engine of the settings in force owns two polling tasks.
//! Reports come late and events have gaps; on a gap the pure index stops
//! counting the engine's entries and the feed takes a snapshot.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_prefix_index::EventOutcome;
use juniper_routing::EngineLoad;
use juniper_settings::BackEndKind;
use juniper_types::{AdapterName, EngineId, Incarnation, ModelName, WeightsVersion};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn, WeakActorRef};
use kameo::error::ActorStopReason;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::engine_api::{EngineApi, EngineCallError, LoadReport};
use crate::engines::Engines;
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
    tasks: [JoinHandle<()>; 2],
}

struct FeedArguments {
    engine: EngineId,
    api: EngineApi,
    engines: Arc<Engines>,
}

impl Actor for EngineFeed {
    type Args = FeedArguments;
    type Error = std::convert::Infallible;

    async fn on_start(
        arguments: FeedArguments,
        _actor: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let FeedArguments { engine, api, engines } = arguments;
        let load = tokio::spawn(follow_load(engine, api.clone(), Arc::clone(&engines)));
        let events = tokio::spawn(follow_events(engine, api, engines));
        Ok(EngineFeed { tasks: [load, events] })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Self::Error> {
        self.tasks.iter().for_each(JoinHandle::abort);
        Ok(())
    }
}

/// Starts and stops feeds as the settings in force name engines.
pub async fn follow_settings(
    mut view: watch::Receiver<SettingsView>,
    http: reqwest::Client,
    engines: Arc<Engines>,
) {
    let mut feeds: HashMap<(EngineId, SocketAddr), ActorRef<EngineFeed>> = HashMap::new();
    loop {
        let in_force = view.borrow_and_update().in_force.clone();
        engines.follow(&in_force);
        let named: Vec<(EngineId, SocketAddr)> = in_force
            .back_ends()
            .filter(|(_, back_end)| back_end.kind == BackEndKind::Engine)
            .map(|(_, back_end)| (back_end.id, back_end.address))
            .collect();
        feeds.retain(|key, feed| {
            let keep = named.contains(key);
            if !keep {
                feed.kill();
            }
            keep
        });
        for (engine, address) in named {
            feeds.entry((engine, address)).or_insert_with(|| {
                let api = EngineApi::new(http.clone(), address);
                EngineFeed::spawn(FeedArguments { engine, api, engines: Arc::clone(&engines) })
            });
        }
        if view.changed().await.is_err() {
            return;
        }
    }
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

async fn follow_load(engine: EngineId, api: EngineApi, engines: Arc<Engines>) {
    let mut ticks = interval(LOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0;
    let mut weights = None;
    loop {
        ticks.tick().await;
        let report = match api.load().await {
            Ok(report) => report,
            Err(error) => {
                failures += 1;
                if failures == FAILURES_UNTIL_DOWN {
                    log::warn!("event=engine_down engine={engine} reason=\"{error}\"");
                    engines.mark_down(engine);
                }
                continue;
            }
        };
        if failures >= FAILURES_UNTIL_DOWN {
            log::info!("event=engine_up engine={engine} incarnation={}", report.incarnation);
        }
        failures = 0;
        note_weights(engine, &report, &mut weights, &engines);
        engines.report(engine, &engine_load(report));
    }
}

/// Entries of older weights stop counting with the first report of newer ones.
fn note_weights(
    engine: EngineId,
    report: &LoadReport,
    known: &mut Option<(Incarnation, WeightsVersion)>,
    engines: &Engines,
) {
    let now = (report.incarnation, report.weights);
    let switched = known.is_some_and(|(life, weights)| life == now.0 && weights != now.1);
    if switched {
        log::info!("event=weights_switched engine={engine} weights={}", report.weights);
        engines.void_cache(engine);
    }
    *known = Some(now);
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

async fn follow_events(engine: EngineId, api: EngineApi, engines: Arc<Engines>) {
    loop {
        let pause = match take_events(engine, &api, &engines).await {
            Ok(()) => EVENT_BATCH_PAUSE,
            Err(error) => {
                log::debug!("event=event_poll_failed engine={engine} reason=\"{error}\"");
                EVENT_RETRY_PAUSE
            }
        };
        sleep(pause).await;
    }
}

async fn take_events(
    engine: EngineId,
    api: &EngineApi,
    engines: &Engines,
) -> Result<(), EngineCallError> {
    let Some((incarnation, after)) = engines.position(engine) else {
        return take_snapshot(engine, api, engines).await;
    };
    let batch = api.events(incarnation, after).await?;
    match engines.apply_events(engine, batch.incarnation, &batch.events) {
        Some(EventOutcome::Gap { missing }) => {
            log::info!("event=cache_event_gap engine={engine} missing={missing}");
            take_snapshot(engine, api, engines).await
        }
        Some(EventOutcome::AwaitingSnapshot) => take_snapshot(engine, api, engines).await,
        Some(EventOutcome::Applied | EventOutcome::StaleIncarnation) => Ok(()),
        None => {
            log::error!("event=index_full engine={engine}");
            Ok(())
        }
    }
}

async fn take_snapshot(
    engine: EngineId,
    api: &EngineApi,
    engines: &Engines,
) -> Result<(), EngineCallError> {
    let snapshot = api.snapshot().await?;
    log::debug!(
        "event=cache_snapshot engine={engine} sequence={} blocks={}",
        snapshot.sequence,
        snapshot.blocks.len()
    );
    engines.apply_snapshot(engine, &snapshot);
    Ok(())
}
