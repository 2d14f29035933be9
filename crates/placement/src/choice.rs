//! What a choice comes to.

use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_prefix_index::rendezvous;
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::admission::Overload;
use crate::homes::ChainKeys;
use crate::sighting::{ChainSighting, ToldRequest};

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It has the prompt's shared parts.
    Holder,
    /// It is meant to keep them; nobody has them.
    Home,
    /// It fetches them; who has them is busier or worse.
    Fetch,
    /// It costs least.
    LeastCost,
    /// None is known to work; this one was drawn at random.
    LastResort,
}

impl Reason {
    /// The reason for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Holder => "holder",
            Reason::Home => "home",
            Reason::Fetch => "fetch",
            Reason::LeastCost => "least_cost",
            Reason::LastResort => "last_resort",
        }
    }
}

/// A chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its life.
    pub instance: InstanceId,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Why it was chosen.
    pub reason: Reason,
    /// Expected cost, in milliseconds.
    pub cost_ms: f64,
    /// Whether its first output is expected too late even there. It gives way to requests that can
    /// be in time, so nobody waits for it.
    pub is_late: bool,
    /// Tokens that it should have kept.
    pub kept_tokens: u32,
    /// Tokens that it has to read.
    pub missed_tokens: u32,
    /// Servers that were considered.
    pub candidates: usize,
    /// Version of the weights that it is known to have; zero without a model.
    pub version: u64,
    /// A server with the same weights, or a store, that should have kept more of
    /// the prompt.
    pub source: Option<SocketAddrV4>,
    /// The store that should get the prompt's parts once they are read.
    pub store: Option<SocketAddrV4>,
    /// Names the beginnings of the prompt's shared parts.
    pub keys: Vec<u64>,
    /// Tokens of each shared part.
    pub part_tokens: Vec<u32>,
    /// Tokens that no other prompt has.
    pub own_tokens: u32,
    /// Tokens that it has to read or fetch.
    pub inserted_tokens: u32,
}

impl Choice {
    /// Tokens to read that requests in time wait for.
    pub(crate) fn tokens_in_line(&self) -> u32 {
        if self.is_late { 0 } else { self.missed_tokens }
    }

    /// What other routers should know of the choice.
    pub fn sighting(&self) -> ChainSighting {
        ChainSighting {
            instance: self.instance.clone(),
            version: self.version,
            keys: self.keys.clone(),
            part_tokens: self.part_tokens.clone(),
            own_tokens: self.own_tokens,
            tokens: self.inserted_tokens,
            read_tokens: self.tokens_in_line(),
        }
    }
}

/// What moves of memory cost at a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceProfile {
    /// Time to move one token, in milliseconds; zero where nothing can be moved.
    pub move_ms: f64,
    /// Tokens that the memory of a server holds.
    pub cache_tokens: u64,
    /// The stores of kept parts, if there are any.
    pub stores: Vec<SocketAddrV4>,
}

impl ServiceProfile {
    /// The store that is meant to keep a chain of parts. All routers name the same one,
    /// so that nothing is kept twice and the stores' memory and links add up.
    pub(crate) fn store_of(&self, chain: &ChainKeys) -> Option<SocketAddrV4> {
        let key = chain.keys.last()?;
        let score = |store: &SocketAddrV4| rendezvous::score(*key, hash_of_address(*store));
        self.stores.iter().copied().max_by_key(|store| (score(store), *store))
    }
}

fn hash_of_address(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum NoChoice {
    /// No server of the service is known.
    #[error("no server of the service is known")]
    NoServer,
    /// Every server failed this request already.
    #[error("every server failed this request already")]
    AllExcluded,
    /// Every server has older weights than may be used.
    #[error("every server has older weights than may be used")]
    OldWeights,
    /// Too much waits at the servers for the prompt to begin well in time.
    #[error("too much waits: {0:?}")]
    Overloaded(Overload),
    /// Every server asked this router to send nothing for a while; the first one is back after this
    /// time.
    #[error("every server rests, for {0:?}")]
    Resting(Duration),
    /// Every other server has got what it takes from all routers together.
    #[error("every server has got what it takes, for {0:?}")]
    UsedUp(Duration),
}

/// A request under way on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    pub(crate) instance: InstanceId,
    pub(crate) missed_tokens: u32,
    pub(crate) is_measured: bool,
    pub(crate) begun: Timestamp,
    pub(crate) had_output: bool,
    /// Names the request among those under way.
    pub(crate) request: ToldRequest,
    /// Tokens that the server was still to read when the request was sent.
    pub(crate) tokens_ahead: f64,
}
