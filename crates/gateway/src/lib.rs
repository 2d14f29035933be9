//! The router of generic services.
//!
//! A caller's request is matched with a route of the configuration in force,
//! sent to the server that the placement chooses, and its answer passed on. What
//! headers say is the business of a [`Dialect`]; everything else is the same
//! wherever the gateway runs.
//!
//! - `face` accepts connections, `call` takes one request from its head to its
//!   answer, `search` looks for a server, `attempt` is one sending to one server.
//! - `crashes` hands what is seen of servers that end to the crash watch.
//! - `relay` passes whole answers on, `stream` streams; `finish` logs how requests end.
//! - `pool` holds connections to servers, `probe` finds out when lost ones are back.
//! - `limits` counts requests against the limits of their tenants.
//! - `server_limits` hears what servers take from all routers together.
//! - `starting` has requests wait that come before the gateway can serve.
//! - `news` tells other routers where prompts were sent and which servers are down.
//! - `life` starts, drains and stops the whole.

mod answer;
mod attempt;
mod body;
mod call;
mod crashes;
mod dialect;
mod events;
mod face;
mod finish;
mod gateway;
mod life;
mod limits;
mod lock;
mod metrics;
mod news;
mod notices;
mod pool;
mod probe;
mod relay;
mod retry;
mod search;
mod server_limits;
mod settings;
mod starting;
mod stream;

pub use dialect::{AnswerFacts, AttemptFacts, CallFacts, CallFault, Dialect};
pub use events::{Event, EventSplitter, EventTooLong};
pub use life::{GatewayError, Listeners, Stop, run};
pub use settings::GatewaySettings;
