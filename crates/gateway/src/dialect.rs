//! Translation between HTTP headers and the gateway's own types.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::{request, response};
use juniper_limits::{AdvertisedLimit, RejectionTolerance, ServerNotice};
use juniper_placement::Prompt;
use juniper_registry::{InstanceId, StartTime};

/// Contents of the head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallInfo {
    /// The caller's id of the request, passed on unchanged.
    pub id: HeaderValue,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// API key that the caller presents.
    pub key: Option<String>,
    /// The prompt, if the request describes one.
    pub prompt: Option<Prompt>,
    /// Number of the last stream event that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the caller's request whose answer brought the first event of the stream that this
    /// request resumes, if the caller states it.
    pub resumed_attempt: Option<HeaderValue>,
}

/// Why the head of a request can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The id is missing.
    #[error("the request has no id")]
    MissingId,
    /// The header with this name has no valid value.
    #[error("header {0} has no valid value")]
    InvalidHeader(&'static str),
}

/// Contents of the headers that the gateway adds to a request to a server.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInfo<'a> {
    /// Incarnation of the chosen server.
    pub instance: &'a InstanceId,
    /// Time left for the answer.
    pub time_left: Duration,
    /// The caller's tenant.
    pub tenant: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Name of the group of callers that share cached prefixes.
    pub sharing_scope: &'a str,
    /// Number of the last event that the caller has received, after which the stream has to
    /// continue.
    pub last_event: Option<u64>,
    /// Whether the request describes a prompt.
    pub has_prompt: bool,
    /// Version of the weights to run with; zero for any version.
    pub version: u64,
    /// Server or store that is expected to have more of the prompt's prefix cached.
    pub source: Option<SocketAddrV4>,
    /// Store to which the prompt's prefix segments are copied after the prefill.
    pub store: Option<SocketAddrV4>,
}

/// Contents of the head of a server's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerInfo {
    /// Whether the answer belongs to this request.
    pub matches_request: bool,
    /// Whether the answer carries the server's seal (authentication tag).
    pub is_sealed: bool,
    /// Whether the server states that it has not run the request.
    pub not_run: bool,
    /// Whether the server states that it isn't the one that was meant.
    pub is_wrong_server: bool,
    /// Whether the server states that its weights are of another version than expected.
    pub is_wrong_version: bool,
    /// Version of the weights that produced the answer.
    pub version: Option<u64>,
    /// Limit that the server advertises for all routers together.
    pub advertised_limit: AdvertisedLimit,
    /// Rejections per second that the server survives, if it is brittle.
    pub rejection_tolerance: RejectionTolerance,
    /// Backoff or departure that the server announces to this router.
    pub notice: ServerNotice,
}

/// Reads and writes the headers of one protocol between callers, gateway and servers.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// Fails when a required header is missing or invalid.
    fn read_call(&self, head: &request::Parts) -> Result<CallInfo, CallError>;

    /// Turns the caller's headers into those of a request to a server.
    fn write_attempt(&self, headers: &mut HeaderMap, info: &AttemptInfo<'_>);

    /// Parses the head of the answer of `instance` to the request with this id.
    fn read_answer(
        &self,
        head: &response::Parts,
        id: &HeaderValue,
        instance: &InstanceId,
    ) -> AnswerInfo;

    /// Path at which a server tells of itself.
    fn identity_path(&self) -> &'static str;

    /// Parses the start time that a server states at that path; unknown if it states none.
    fn parse_start(&self, body: &[u8]) -> StartTime;

    /// Adds the headers of a response that the gateway generates itself for the request with this
    /// id.
    fn write_own_answer(&self, headers: &mut HeaderMap, id: &HeaderValue);
}
