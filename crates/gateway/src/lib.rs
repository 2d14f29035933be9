//! Router for callers' requests.
//!
//! Each request is matched with a route of the configuration in force and sent to the server that
//! the placement chooses, whose answer is relayed to the caller. A [`Dialect`] defines the headers;
//! the rest doesn't depend on the environment.
//!
//! - `listener` accepts connections, `call` handles one request up to the head of its answer,
//!   `search` asks one server after another, `search_choice` chooses the next one, `attempt` sends the
//!   request to one server.
//! - `request_body` reads the body of a request under the account of the callers' memory.
//! - `crashes` reports evidence of crashes to the crash watch.
//! - `relay` passes on buffered answers, `stream` passes on streams; `open_answer` ends what is passed
//!   on in chunks, `pending_answer` logs requests that end without an answer, `finish` all others.
//! - `pool` keeps connections to servers, `connect` opens them, `probe` checks when unreachable
//!   servers are back and whether this router is cut off.
//! - `tunnel` reaches servers through another router, `tunnel_server` forwards other routers' tunnels.
//! - `limits` charges requests against their tenants' limits.
//! - `server_limits` enforces limits that servers advertise for all routers together.
//! - `brittle` keeps requests from servers that crash if they have to reject many.
//! - `notices` observes servers' backoffs and departures.
//! - `returns` schedules the returns of refused callers.
//! - `retry_budget` charges retries against the budget that all routers share.
//! - `startup` holds requests that arrive before the gateway has a configuration.
//! - `updates` exchanges dispatch reports and server state with other routers.
//! - `lifecycle` starts, drains and stops the gateway.

mod answer;
mod attempt;
mod attempt_error;
mod body;
mod brittle;
mod call;
mod connect;
mod connection_headers;
mod counted_stream;
mod crashes;
mod dialect;
mod events;
mod finish;
mod gateway;
mod head_limit;
mod identity;
mod lifecycle;
mod limits;
mod listener;
mod lock;
mod memory_metrics;
mod metrics;
mod notices;
mod open_answer;
mod pending_answer;
mod pool;
mod probe;
mod refusal;
mod relay;
mod request_body;
mod resume;
mod retry;
mod retry_budget;
mod returns;
mod search;
mod search_choice;
mod search_end;
mod server_limits;
mod settings;
mod startup;
mod stream;
mod tunnel;
mod tunnel_server;
mod updates;
mod weights;

pub use dialect::{AnswerInfo, AttemptInfo, CallError, CallInfo, Dialect};
pub use events::{Event, EventError, EventSplitter};
pub use lifecycle::{GatewayError, Listeners, ShutdownPhase, run};
pub use settings::GatewaySettings;
