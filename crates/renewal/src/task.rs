//! One order, from the word to the routers to the proof that it was carried out.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_control::FleetCalls;
use juniper_limits::{DepartureNotice, RequestedBackoff, ServerNotice};
use tokio::time::{Instant, sleep};

use crate::exchange::{
    ExchangeError, Noticed, Order, OrderAnswer, OrderDialect, ServerState, ask_state, give,
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
    /// It should be ordered again, after the pause that it asks for.
    AgainAfter(Duration),
    /// It leaves, and takes no order any more.
    Leaving,
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
        let answer = match answer {
            Ok((answer, notice)) => match end_by(&notice) {
                // An order that was taken is carried out all the same.
                Some(end) if answer != OrderAnswer::Taken => return (end, None),
                _ => Ok(answer),
            },
            Err(error) => Err(error),
        };
        match answer {
            Ok(OrderAnswer::Taken) => self.watch(expected + 1).await,
            Ok(OrderAnswer::AlreadyDone) => (TaskEnd::Renewed(self.order.version), None),
            Ok(OrderAnswer::Fenced) => (TaskEnd::Fenced, None),
            Ok(OrderAnswer::OtherServer | OrderAnswer::Refused(_)) => (TaskEnd::Gone, None),
            Ok(OrderAnswer::Conflict) | Err(_) => match self.state().await {
                Ok(state) => self.judge(&state, TaskEnd::Again),
                Err(end) => (end, None),
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
                Ok(state) if state.orders >= taken && !state.busy => {
                    return self.judge(&state, TaskEnd::Again);
                }
                Ok(_) => {}
                Err(end) => return (end, None),
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

    /// The server's state, or what its lack comes to.
    async fn state(&self) -> Result<ServerState, TaskEnd> {
        let instance = &self.order.instance;
        let (state, notice) = match ask_state(&*self.dialect, self.address).await {
            Ok(asked) => asked,
            Err(error) => {
                log::warn!("event=order_state_unknown instance={instance} reason=\"{error}\"");
                return Err(TaskEnd::Again);
            }
        };
        let Some(state) = state else {
            log::warn!("event=order_state_unknown instance={instance} reason=unreadable");
            return Err(end_by(&notice).unwrap_or(TaskEnd::Again));
        };
        log::info!(
            "event=order_state instance={instance} orders={} busy={} versions={:?}",
            state.orders,
            state.busy,
            state.versions.iter().map(|held| held.1).collect::<Vec<_>>()
        );
        Ok(state)
    }

    fn log_answer(&self, answer: &Result<Noticed<OrderAnswer>, ExchangeError>) {
        let shown = match answer {
            Ok((answer, notice)) if *notice == ServerNotice::default() => format!("{answer:?}"),
            Ok((answer, notice)) => format!("{answer:?} {notice:?}"),
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

/// What an order comes to whose server asks for something.
fn end_by(notice: &ServerNotice) -> Option<TaskEnd> {
    if notice.departure == DepartureNotice::Leaving {
        return Some(TaskEnd::Leaving);
    }
    match notice.pause {
        RequestedBackoff::For(pause) => Some(TaskEnd::AgainAfter(pause)),
        RequestedBackoff::Nothing | RequestedBackoff::Unreadable(_) => None,
    }
}
