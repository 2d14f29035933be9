//! Orders to servers over HTTP.

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
use juniper_registry::InstanceId;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time within which a server answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// What becomes of the requests that run on a server when it takes other weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunningRequests {
    /// They finish first; the server begins nothing new until then.
    FinishFirst,
    /// They go on under the new weights, after a pause.
    GoOn,
}

/// An order to take weights of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The life of the server that it is meant for.
    pub instance: InstanceId,
    /// The model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
    /// What becomes of the requests that run.
    pub running: RunningRequests,
    /// Who gives the order.
    pub holder: String,
    /// The holder's fencing token.
    pub token: u64,
    /// Orders that the server has taken before this one.
    pub expected_orders: u64,
}

/// What a server says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It has taken the order.
    Taken,
    /// It has these weights already.
    AlreadyDone,
    /// Another order is under way, or it has taken other orders than expected.
    Conflict,
    /// A holder with a higher token has given orders.
    Fenced,
    /// Another server has the address.
    OtherServer,
    /// It can't carry out the order.
    Refused(StatusCode),
}

/// What a server says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerState {
    /// Orders that it has taken.
    pub orders: u64,
    /// Whether an order is under way.
    pub busy: bool,
    /// Versions of the weights of its models.
    pub versions: Vec<(String, u64)>,
}

/// Writes orders and reads what servers say to them.
pub trait OrderDialect: Send + Sync + 'static {
    /// The request for an order.
    fn order(&self, order: &Order) -> Request<Full<Bytes>>;

    /// What the answer to an order says.
    fn read_answer(&self, status: StatusCode) -> OrderAnswer;

    /// What an answer to an order, or to a question for the state, asks for beside that.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> ServerNotice;

    /// The request for a server's state.
    fn state(&self) -> Request<Full<Bytes>>;

    /// Reads a server's state, if it can be read.
    fn read_state(&self, body: &[u8]) -> Option<ServerState>;
}

/// Why a server didn't answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    #[error("no answer in time")]
    Timeout,
    #[error("can't connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
    #[error("the answer can't be read")]
    Unreadable,
}

/// An answer with what it asks for.
pub(crate) type Noticed<T> = (T, ServerNotice);

/// Sends an order. Without an answer it may have been taken.
pub(crate) async fn give(
    dialect: &dyn OrderDialect,
    address: SocketAddrV4,
    order: &Order,
) -> Result<Noticed<OrderAnswer>, ExchangeError> {
    let (head, _) = exchange(address, dialect.order(order)).await?;
    Ok((dialect.read_answer(head.status), dialect.read_notice(head.status, &head.headers)))
}

/// Asks a server for its state, which may be unreadable.
pub(crate) async fn ask_state(
    dialect: &dyn OrderDialect,
    address: SocketAddrV4,
) -> Result<Noticed<Option<ServerState>>, ExchangeError> {
    let (head, body) = exchange(address, dialect.state()).await?;
    Ok((dialect.read_state(&body), dialect.read_notice(head.status, &head.headers)))
}

async fn exchange(
    address: SocketAddrV4,
    request: Request<Full<Bytes>>,
) -> Result<(response::Parts, Bytes), ExchangeError> {
    let exchanged = timeout(ANSWER_TIMEOUT, exchange_unbounded(address, request)).await;
    exchanged.map_err(|_| ExchangeError::Timeout)?
}

async fn exchange_unbounded(
    address: SocketAddrV4,
    mut request: Request<Full<Bytes>>,
) -> Result<(response::Parts, Bytes), ExchangeError> {
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(connection);
    let response = sender.send_request(request).await;
    let read = async {
        let response = response?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        Ok((head, body.map_err(|_| ExchangeError::Unreadable)?.to_bytes()))
    };
    let read = read.await;
    task.abort();
    read
}
