//! HTTP exchanges with servers: orders and state requests.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::http::response;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use juniper_limits::ServerNotice;
use juniper_registry::{InstanceId, StartTime};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Timeout of an exchange.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Maximum number of bytes received in an exchange: an answer with its head.
const MAX_EXCHANGE_BYTES: u64 = 128 << 10;

/// Treatment of running requests when a server loads other weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunningRequests {
    /// Finish them first, without starting new requests until then.
    FinishFirst,
    /// Interrupt them while the weights are loaded, and continue them under the new weights.
    Continue,
}

/// Order to load another version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Incarnation of the server.
    pub instance: InstanceId,
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Treatment of running requests.
    pub running: RunningRequests,
    /// Name of the lease holder that sends the order.
    pub holder: String,
    /// Fencing token of the holder's lease.
    pub token: u64,
    /// Number of orders that the server is expected to have accepted before this one.
    pub expected_orders: u64,
}

/// A server's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order was accepted.
    Taken,
    /// The server already has the weights.
    AlreadyDone,
    /// Another order is in progress, or the number of accepted orders isn't the expected one.
    Conflict,
    /// A holder with a higher token has sent orders.
    Fenced,
    /// The address belongs to another server.
    OtherServer,
    /// The server can't execute the order.
    Refused(StatusCode),
}

/// State that a server reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerState {
    /// Number of orders that the server has accepted.
    pub orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Models with the versions of their weights.
    pub versions: Vec<(String, u64)>,
    /// Start time of the server; unknown if it states none.
    pub started: StartTime,
}

/// Translation between orders and the HTTP API of the servers.
pub trait OrderDialect: Send + Sync + 'static {
    /// Builds the request for an order.
    fn order_request(&self, order: &Order) -> Request<Full<Bytes>>;

    /// Interprets the status of the answer to an order.
    fn parse_answer(&self, status: StatusCode) -> OrderAnswer;

    /// Parses the notices in the answer to an order or a state request.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> ServerNotice;

    /// Builds the request for a server's state.
    fn state_request(&self) -> Request<Full<Bytes>>;

    /// Parses a server's state, or returns `None` if it is malformed.
    fn parse_state(&self, body: &[u8]) -> Option<ServerState>;
}

/// Failure of an exchange.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    #[error("timed out")]
    Timeout,
    #[error("failed to connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
    #[error("failed to read the answer body")]
    Unreadable,
}

/// Content of an answer and its notices.
pub(crate) type WithNotice<T> = (T, ServerNotice);

/// Sends an order. After an error, the server may still have accepted it.
pub(crate) async fn send_order(
    dialect: &dyn OrderDialect,
    address: SocketAddrV4,
    order: &Order,
) -> Result<WithNotice<OrderAnswer>, ExchangeError> {
    let (head, _) = exchange(address, dialect.order_request(order)).await?;
    Ok((dialect.parse_answer(head.status), dialect.parse_notice(head.status, &head.headers)))
}

/// Requests a server's state; `None` if it is malformed.
pub(crate) async fn request_state(
    dialect: &dyn OrderDialect,
    address: SocketAddrV4,
) -> Result<WithNotice<Option<ServerState>>, ExchangeError> {
    let (head, body) = exchange(address, dialect.state_request()).await?;
    Ok((dialect.parse_state(&body), dialect.parse_notice(head.status, &head.headers)))
}

/// Asks the server at `address` when it started. Unknown if it states no start time or doesn't
/// answer in time.
pub async fn request_start(dialect: &dyn OrderDialect, address: SocketAddrV4) -> StartTime {
    match request_state(dialect, address).await {
        Ok((state, _)) => state.map_or(StartTime::UNKNOWN, |state| state.started),
        Err(error) => {
            log::info!("event=start_not_stated address={address} reason=\"{error}\"");
            StartTime::UNKNOWN
        }
    }
}

async fn exchange(
    address: SocketAddrV4,
    request: Request<Full<Bytes>>,
) -> Result<(response::Parts, Bytes), ExchangeError> {
    let result = timeout(ANSWER_TIMEOUT, exchange_without_timeout(address, request)).await;
    result.map_err(|_| ExchangeError::Timeout)?
}

async fn exchange_without_timeout(
    address: SocketAddrV4,
    mut request: Request<Full<Bytes>>,
) -> Result<(response::Parts, Bytes), ExchangeError> {
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (received, sent) = stream.into_split();
    let stream = tokio::io::join(received.take(MAX_EXCHANGE_BYTES), sent);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Closes the connection when dropped, also after the timeout.
    let mut connections = JoinSet::new();
    connections.spawn(connection);
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    Ok((head, body.map_err(|_| ExchangeError::Unreadable)?.to_bytes()))
}
