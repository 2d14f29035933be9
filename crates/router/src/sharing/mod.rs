//! Engine knowledge shared with the other routers of the zone.
//!
//! [`SharingHub`] holds the pure [`Sharing`] state behind a lock, links to the
//! routers of the zone, and the round that sends what changed. Every call may
//! fail: a failed lookup only means less knowledge for one request, and a
//! failed message makes the next one repeat everything.

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
use crate::in_force::InForce;
use crate::link::{Link, LinkTarget};
use crate::peers::PeerView;
use crate::reachability::Reachability;

pub use rounds::run_rounds;
pub use service::serve;

/// Longest wait for another router's answer: several round trips within a zone,
/// and little beside the recomputation that a known prefix saves.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(5);

/// Time after the start in which a router learns which others there are: a join,
/// and a few probes.
const GROUP_SETTLE_TIME: Duration = Duration::from_secs(4);

/// Shares engine knowledge with the routers of the zone.
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
    /// Serving states told by the followers of other engines.
    told: HashMap<EngineId, ServingDigest>,
    /// Whether engines have one follower each at present.
    shared: bool,
}

impl SharingHub {
    /// A hub that knows no other router yet.
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
            told: HashMap::new(),
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

    /// Takes over the routers that are up; those of other zones are left out.
    pub fn set_peers(&self, peers: &PeerView) {
        let zone = &self.identity.zone;
        let near = peers.routers.iter().filter(|peer| peer.zone == *zone);
        let members: Vec<(RouterIncarnation, SocketAddr)> = near
            .map(|peer| {
                (RouterIncarnation { node: peer.node, incarnation: peer.life }, peer.address)
            })
            .collect();
        let mut state = self.lock();
        state.links.retain(|life, _| members.iter().any(|(member, _)| member == life));
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
        let lives = members.iter().map(|(member, _)| *member);
        state.sharing.set_group(Group::new(lives.chain([self.own])));
    }

    /// Whether the router has been up long enough to know the others.
    pub fn is_settled(&self) -> bool {
        Instant::now() >= self.settled_at
    }

    /// Waits until the router has been up long enough to know the others.
    pub async fn settled(&self) {
        sleep_until(self.settled_at).await;
    }

    /// How much is kept for sharing.
    pub fn size(&self) -> SharingSize {
        self.lock().sharing.size()
    }

    /// Which engines this router reads, under the settings in force and the
    /// present group.
    pub fn follow_plan(&self, in_force: &InForce) -> FollowPlan {
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

    /// Passes on a load report of a followed engine.
    pub fn load(&self, engine: EngineId, load: &EngineLoad) {
        let serving = ServingDigest {
            engine,
            incarnation: load.incarnation,
            model: load.model.clone(),
            weights: load.weights,
            adapters: load.adapters.clone(),
            leaving: load.leaving,
            up: true,
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

    /// Passes on cache events of a followed engine.
    pub fn cache_events(&self, engine: EngineId, life: Incarnation, events: &[CacheEvent]) {
        self.lock().sharing.apply_cache_events(engine, life, events);
    }

    /// Passes on the whole cache of a followed engine.
    pub fn cache_snapshot(&self, engine: EngineId, snapshot: &Snapshot) {
        self.lock().sharing.apply_cache_snapshot(engine, snapshot);
    }

    /// Voids what others know of a followed engine's cache.
    pub fn void_cache(&self, engine: EngineId) {
        self.lock().sharing.clear_cache(engine);
    }

    /// Tells the others that a followed engine doesn't answer.
    pub fn mark_down(&self, engine: EngineId) {
        self.lock().sharing.mark_down(engine);
    }

    /// Another router follows the engine from now on, or nobody.
    pub fn unfollow(&self, engine: EngineId) {
        self.lock().sharing.unfollow(engine);
    }

    /// What the routers of the zone know about the start of a prompt. Empty
    /// while every router follows every engine.
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
            join_all(remote.iter().zip(links).map(|(question, link)| ask(link, question)));
        for (question, answer) in remote.iter().zip(answers.await) {
            if let Some(holders) = answer {
                questions.answer(question, holders);
            }
        }
        questions.holders().into_iter().map(as_holder).collect()
    }

    /// Takes news from another router of the zone; returns the engines whose
    /// updates have a gap.
    pub fn receive(&self, from: RouterIncarnation, news: &ShareMessage) -> Vec<EngineId> {
        let mut reports = Vec::new();
        let mut down = Vec::new();
        let in_doubt = {
            let mut state = self.lock();
            for serving in &news.serving {
                if !serving.up {
                    down.push(serving.engine);
                }
                state.told.insert(serving.engine, serving.clone());
            }
            for digest in &news.loads {
                if let Some(serving) = state.told.get(&digest.engine) {
                    reports.push((digest.engine, engine_load(serving, digest)));
                }
            }
            state.sharing.receive(from, news).unwrap_or_else(|error| {
                log::error!("event=index_full peer={} reason=\"{error}\"", from.node);
                Vec::new()
            })
        };
        down.into_iter().for_each(|engine| self.engines.mark_down(engine));
        reports.iter().for_each(|(engine, load)| self.engines.report(*engine, load));
        in_doubt
    }
}

async fn ask(
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
        leaving: serving.leaving,
    }
}
