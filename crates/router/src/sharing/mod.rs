//! Cache and load state of engines shared between the routers of a zone.
//!
//! [`SharingHub`] contains the I/O-free [`Sharing`] state behind a mutex and the links to
//! the routers of the zone, and sends changes in rounds. Calls may fail: after a failed
//! lookup one request is routed without the peer's entries, and after a failed delivery
//! the next message carries the complete state.

mod rounds;
mod service;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::join_all;
use juniper_prefix_index::coarse::CoarseHolder;
use juniper_prefix_index::{CacheEvent, Holder, Snapshot};
use juniper_protocol::{ClusterKey, PeerIdentity, Reply, Request, Traffic};
use juniper_routing::EngineLoad;
use juniper_sharing::{
    FollowPlan, Group, LoadDigest, OwnerQuery, RouterIncarnation, ServingDigest, ShareMessage,
    Sharing, SharingSize,
};
use juniper_types::{BlockHash, EngineId, Incarnation};

use tokio::time::{Instant, sleep_until};

use crate::config::RouterConfig;
use crate::engines::Engines;
use crate::in_force::SettingsInForce;
use crate::link::{Link, LinkTarget};
use crate::peers::PeerView;
use crate::reachability::Reachability;

pub use rounds::run_rounds;
pub use service::serve;

/// Timeout of a lookup at another router: several round trips within a zone, and short
/// compared to recomputing a cached prefix.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(5);

/// Time after the start within which a router discovers the others: a join and a few probes.
const GROUP_SETTLE_TIME: Duration = Duration::from_secs(4);

/// Shares engine state with the routers of the zone.
pub struct SharingHub {
    own: RouterIncarnation,
    identity: PeerIdentity,
    key: ClusterKey,
    full_follow_engines: usize,
    settled_at: Instant,
    engines: Arc<Engines>,
    traffic: Arc<Traffic>,
    reachability: Reachability,
    state: Mutex<State>,
}

struct State {
    sharing: Sharing,
    links: HashMap<RouterIncarnation, Link>,
    /// Serving states of engines that other routers follow.
    peer_serving: HashMap<EngineId, ServingDigest>,
    /// Whether each engine is currently followed by one router that shares its state.
    shared: bool,
}

impl SharingHub {
    /// Creates a hub without peers.
    pub fn new(
        own: RouterIncarnation,
        config: &RouterConfig,
        engines: Arc<Engines>,
        traffic: &Arc<Traffic>,
        reachability: &Reachability,
    ) -> Self {
        let state = State {
            sharing: Sharing::new(own),
            links: HashMap::new(),
            peer_serving: HashMap::new(),
            shared: false,
        };
        SharingHub {
            own,
            identity: config.identity(),
            key: config.cluster_key.clone(),
            full_follow_engines: config.limits.full_follow_engines,
            settled_at: Instant::now() + GROUP_SETTLE_TIME,
            engines,
            traffic: Arc::clone(traffic),
            reachability: reachability.clone(),
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sets the routers that are up, and ignores those of other zones.
    pub fn set_peers(&self, peers: &PeerView) {
        let zone = &self.identity.zone;
        let same_zone = peers.routers.iter().filter(|peer| peer.zone == *zone);
        let members: Vec<(RouterIncarnation, SocketAddr)> = same_zone
            .map(|peer| {
                (RouterIncarnation { node: peer.node, incarnation: peer.incarnation }, peer.address)
            })
            .collect();
        let mut state = self.lock();
        state.links.retain(|linked, _| members.iter().any(|(member, _)| member == linked));
        for (member, address) in &members {
            let target = || LinkTarget {
                address: *address,
                key: self.key.clone(),
                own: self.identity.clone(),
                traffic: Arc::clone(&self.traffic),
                reachability: self.reachability.clone(),
            };
            state.links.entry(*member).or_insert_with(|| Link::spawn(target()));
        }
        let peers = members.iter().map(|(member, _)| *member);
        state.sharing.set_group(Group::new(peers.chain([self.own])));
    }

    /// Whether the router has been up long enough to have discovered the others.
    pub fn is_settled(&self) -> bool {
        Instant::now() >= self.settled_at
    }

    /// Waits until the router has been up long enough to have discovered the others.
    pub async fn settled(&self) {
        sleep_until(self.settled_at).await;
    }

    /// Returns the size of the shared state.
    pub fn size(&self) -> SharingSize {
        self.lock().sharing.size()
    }

    /// Returns the engines that this router polls under `in_force` and the current group.
    pub fn follow_plan(&self, in_force: &SettingsInForce) -> FollowPlan {
        let mut state = self.lock();
        let (own_zone, other_zones) = in_force.engines_by_zone(&self.identity.zone);
        let plan = FollowPlan::new(
            self.own,
            state.sharing.group(),
            &own_zone,
            &other_zones,
            self.full_follow_engines,
            self.is_settled(),
        );
        state.shared = plan.shared;
        plan
    }

    /// Publishes a load report of a followed engine.
    pub fn publish_load(&self, engine: EngineId, load: &EngineLoad) {
        let serving = ServingDigest {
            engine,
            incarnation: load.incarnation,
            model: load.model.clone(),
            weights: load.weights,
            adapters: load.adapters.clone(),
            leaving: load.leaving,
            up: true,
            software: load.software.clone(),
        };
        let digest = LoadDigest {
            engine,
            age_ms: load.age.as_millis() as u64,
            running: load.running,
            waiting: load.waiting,
            waiting_prompt_tokens: load.waiting_prompt_tokens,
        };
        self.lock().sharing.record_load(serving, digest, self.engines.now());
    }

    /// Publishes cache events of a followed engine.
    pub fn publish_cache_events(
        &self,
        engine: EngineId,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) {
        self.lock().sharing.apply_cache_events(engine, incarnation, events);
    }

    /// Publishes a cache snapshot of a followed engine.
    pub fn publish_cache_snapshot(&self, engine: EngineId, snapshot: &Snapshot) {
        self.lock().sharing.apply_cache_snapshot(engine, snapshot);
    }

    /// Invalidates the cache entries of a followed engine at the other routers.
    pub fn invalidate_cache(&self, engine: EngineId) {
        self.lock().sharing.clear_cache(engine);
    }

    /// Reports to the other routers that a followed engine doesn't answer.
    pub fn mark_down(&self, engine: EngineId) {
        self.lock().sharing.mark_down(engine);
    }

    /// Stops publishing the state of an engine that this router no longer follows.
    pub fn unfollow(&self, engine: EngineId) {
        self.lock().sharing.unfollow(engine);
    }

    /// Looks up engines that hold a prefix of a prompt at the routers of the zone. Returns nothing
    /// while every router follows all engines itself.
    pub async fn holders(&self, blocks: &[BlockHash]) -> Vec<Holder> {
        let (mut questions, links) = {
            let state = self.lock();
            if !state.shared {
                return Vec::new();
            }
            let questions = state.sharing.prefix_query(blocks, self.engines.now());
            let links: Vec<Option<Link>> = questions
                .remote
                .iter()
                .map(|question| state.links.get(&question.owner).cloned())
                .collect();
            (questions, links)
        };
        let remote = questions.remote.clone();
        let answers =
            join_all(remote.iter().zip(links).map(|(question, link)| lookup(link, question)));
        for (question, answer) in remote.iter().zip(answers.await) {
            if let Some(holders) = answer {
                questions.answer(question, holders);
            }
        }
        questions.holders().into_iter().map(as_holder).collect()
    }

    /// Applies a message from another router of the zone. Returns the engines whose
    /// updates have a gap.
    pub fn apply_peer_message(
        &self,
        from: RouterIncarnation,
        message: &ShareMessage,
    ) -> Vec<EngineId> {
        let mut reports = Vec::new();
        let mut down = Vec::new();
        let in_doubt = {
            let mut state = self.lock();
            for serving in &message.serving {
                if !serving.up {
                    down.push(serving.engine);
                }
                state.peer_serving.insert(serving.engine, serving.clone());
            }
            for digest in &message.loads {
                if let Some(serving) = state.peer_serving.get(&digest.engine) {
                    reports.push((digest.engine, engine_load(serving, digest)));
                }
            }
            state.sharing.receive(from, message).unwrap_or_else(|error| {
                log::error!("event=index_full peer={} reason=\"{error}\"", from.node);
                Vec::new()
            })
        };
        down.into_iter().for_each(|engine| self.engines.mark_down(engine));
        reports.iter().for_each(|(engine, load)| self.engines.apply_load_report(*engine, load));
        in_doubt
    }
}

async fn lookup(
    link: Option<Link>,
    question: &OwnerQuery,
) -> Option<Vec<juniper_prefix_index::coarse::CheckpointHolders>> {
    let request = Request::Lookup { keys: question.keys.clone() };
    match link?.call(request, LOOKUP_TIMEOUT).await {
        Ok(Reply::Holders { checkpoints }) => Some(checkpoints),
        Ok(_) => None,
        Err(error) => {
            log::debug!("event=lookup_failed peer={} reason=\"{error}\"", question.owner.node);
            None
        }
    }
}

fn as_holder(holder: CoarseHolder) -> Holder {
    Holder {
        engine: holder.engine,
        incarnation: holder.incarnation,
        blocks: holder.blocks,
        predicted: 0,
        computed_by: None,
    }
}

fn engine_load(serving: &ServingDigest, digest: &LoadDigest) -> EngineLoad {
    EngineLoad {
        incarnation: serving.incarnation,
        age: Duration::from_millis(digest.age_ms),
        running: digest.running,
        waiting: digest.waiting,
        waiting_prompt_tokens: digest.waiting_prompt_tokens,
        model: serving.model.clone(),
        weights: serving.weights,
        adapters: serving.adapters.clone(),
        software: serving.software.clone(),
        leaving: serving.leaving,
    }
}
