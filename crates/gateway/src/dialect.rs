//! What headers say, in the words of whoever the gateway serves.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::{request, response};
use juniper_limits::{AdvertisedLimit, ServerNotice};
use juniper_placement::Prompt;
use juniper_registry::InstanceId;

/// What a caller's request says of itself.
#[derive(Clone, Debug)]
pub struct CallFacts {
    /// The caller's id of the request, handed on unchanged.
    pub id: HeaderValue,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// The key that it presents.
    pub key: Option<String>,
    /// The prompt, if it states one.
    pub prompt: Option<Prompt>,
    /// The last event of a stream that the caller has.
    pub last_event: Option<u64>,
}

/// Why a request can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFault {
    /// It has no id.
    #[error("the request has no id")]
    NoId,
    /// A header has no value that can be read.
    #[error("header {0} can't be read")]
    Header(&'static str),
}

/// What is told to a server beside the caller's own request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts<'a> {
    /// The life of the server that it is meant for.
    pub instance: &'a InstanceId,
    /// Time that is left.
    pub deadline: Duration,
    /// The caller's tenant.
    pub tenant: Option<&'a str>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Names the callers among whom cached parts are shared.
    pub sharing: &'a str,
    /// The last event that the caller has, if the stream is to go on after it.
    pub last_event: Option<u64>,
    /// Whether the request states a prompt.
    pub has_prompt: bool,
    /// Version of the weights that it must run under; zero for any.
    pub version: u64,
    /// A server or store that should have kept more of the prompt.
    pub source: Option<SocketAddrV4>,
    /// A store that should get the prompt's parts once they are read.
    pub store: Option<SocketAddrV4>,
}

/// What a server's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// It answers this very request.
    pub is_own: bool,
    /// It is signed by the server.
    pub is_sealed: bool,
    /// The server states that the request did not run.
    pub not_run: bool,
    /// The server states that it is another one than was meant.
    pub is_other_server: bool,
    /// The server states that its weights are of another version than was meant.
    pub is_other_version: bool,
    /// Version of the weights that it was made with.
    pub version: Option<u64>,
    /// The requests that the server takes from all routers together.
    pub stated_limit: AdvertisedLimit,
    /// What the server asks of this router.
    pub notice: ServerNotice,
}

/// Reads and writes headers.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a caller's request.
    ///
    /// # Errors
    /// Fails when the request has to be refused for what its head says.
    fn read_call(&self, head: &request::Parts) -> Result<CallFacts, CallFault>;

    /// Turns the caller's headers into those for a server.
    fn write_attempt(&self, headers: &mut HeaderMap, facts: &AttemptFacts<'_>);

    /// Reads what `instance` answered to the request with this id.
    fn read_answer(
        &self,
        head: &response::Parts,
        id: &HeaderValue,
        instance: &InstanceId,
    ) -> AnswerFacts;

    /// Marks an answer of the gateway's own as one to the request with this id.
    fn write_own_answer(&self, headers: &mut HeaderMap, id: &HeaderValue);
}
