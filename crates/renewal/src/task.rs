//! One order, from the word to the routers to the proof that it was carried out.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_control::FleetCalls;
use tokio::time::{Instant, sleep};

use crate::exchange::{
    ExchangeError, Order, OrderAnswer, OrderDialect, ServerState, ask_state, give,
};
use crate::giver::leads;

/// Time from the word to the routers to the order: they stop sending to the
/// server, so that it has to turn nothing away, and what was sent before is read
/// under the weights that it was sent for.
const NOTICE: Duration = Duration::from_millis(300);

/// Time after which a server is first asked whether it has the weights.
const FIRST_LOOK: Duration = Duration::from_millis(700);

/// Pace of further questions.
const NEXT_LOOK: Duration = Duration::from_millis(300);

/// Longest time for an order to be carried out.
const PATIENCE: Duration = Duration::from_secs(6);

/// What an order came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskEnd {
    /// The server has weights of this version.
    Renewed(u64),
    /// It should be ordered again.
    Again,
    /// Another holder gives orders.
    Fenced,
    /// It isn't there any more, or can't carry the order out.
    Gone,
}

/// What came of an order, and how many orders the server has taken, if known.
pub(crate) struct TaskOutcome {
    pub order: Order,
    pub end: TaskEnd,
    pub orders: Option<u64>,
}

/// An order to give.
pub(crate) struct OrderTask {
    pub dialect: Arc<dyn OrderDialect>,
    pub calls: FleetCalls,
    /// Term of the lease; orders are given in no other.
    pub term: u64,
    pub address: SocketAddrV4,
    pub order: Order,
    pub from_version: u64,
}

impl OrderTask {
    pub(crate) async fn run(self) -> TaskOutcome {
        sleep(NOTICE).await;
        let (end, orders) = match leads(&self.calls, Some(self.term)) {
            true => self.give().await,
            false => (TaskEnd::Again, None),
        };
        TaskOutcome { order: self.order, end, orders }
    }

    async fn give(&self) -> (TaskEnd, Option<u64>) {
        let answer = give(&*self.dialect, self.address, &self.order).await;
        self.log_answer(&answer);
        let expected = self.order.expected_orders;
        match answer {
            Ok(OrderAnswer::Taken) => self.watch(expected + 1).await,
            Ok(OrderAnswer::AlreadyDone) => (TaskEnd::Renewed(self.order.version), None),
            Ok(OrderAnswer::Fenced) => (TaskEnd::Fenced, None),
            Ok(OrderAnswer::OtherServer | OrderAnswer::Refused(_)) => (TaskEnd::Gone, None),
            Ok(OrderAnswer::Conflict) | Err(_) => match self.state().await {
                Some(state) => self.judge(&state, TaskEnd::Again),
                None => (TaskEnd::Again, None),
            },
        }
    }

    /// Asks until the server has the weights.
    async fn watch(&self, taken: u64) -> (TaskEnd, Option<u64>) {
        let until = Instant::now() + PATIENCE;
        sleep(FIRST_LOOK).await;
        while Instant::now() < until {
            match self.state().await {
                // The state is from some time ago, perhaps from before the order.
                Some(state) if state.orders >= taken && !state.busy => {
                    return self.judge(&state, TaskEnd::Again);
                }
                Some(_) => {}
                None => return (TaskEnd::Again, None),
            }
            sleep(NEXT_LOOK).await;
        }
        (TaskEnd::Again, Some(taken))
    }

    fn judge(&self, state: &ServerState, otherwise: TaskEnd) -> (TaskEnd, Option<u64>) {
        let held = state.versions.iter().find(|(model, _)| *model == self.order.model);
        let version = held.map_or(0, |(_, version)| *version);
        let end = match version >= self.order.version && !state.busy {
            true => TaskEnd::Renewed(version),
            false => otherwise,
        };
        (end, Some(state.orders))
    }

    async fn state(&self) -> Option<ServerState> {
        let state = ask_state(&*self.dialect, self.address).await;
        let instance = &self.order.instance;
        match state {
            Ok(state) => {
                let (orders, busy) = (state.orders, state.busy);
                log::info!(
                    "event=order_state instance={instance} orders={orders} busy={busy} versions={:?}",
                    state.versions.iter().map(|held| held.1).collect::<Vec<_>>()
                );
                Some(state)
            }
            Err(error) => {
                log::warn!("event=order_state_unknown instance={instance} reason=\"{error}\"");
                None
            }
        }
    }

    fn log_answer(&self, answer: &Result<OrderAnswer, ExchangeError>) {
        let shown = match answer {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => error.to_string(),
        };
        let order = &self.order;
        log::info!(
            "event=order_given instance={} model={} version={} from_version={} token={} \
             expected_orders={} answer=\"{shown}\"",
            order.instance,
            order.model,
            order.version,
            self.from_version,
            order.token,
            order.expected_orders
        );
    }
}
