//! Execution of one order, from the announcement to routers to the check of its effect.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_control::FleetCalls;
use juniper_limits::{DepartureNotice, RequestedBackoff, ServerNotice};
use tokio::time::{Instant, sleep};

use crate::exchange::{
    ExchangeError, Order, OrderAnswer, OrderDialect, ServerState, WithNotice, request_state,
    send_order,
};
use crate::order_dispatcher::is_confirmed_leader;

/// Delay between the announcement to routers and the order. Routers stop dispatching to the server
/// meanwhile, so that it rejects no requests and finishes the prefill of earlier ones under the old
/// weights.
const ROUTER_NOTICE_PERIOD: Duration = Duration::from_millis(300);

/// Delay until the server is first polled for the new weights.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(700);

/// Interval between further polls.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time for a server to execute an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderResult {
    /// The server has weights of this version.
    Renewed(u64),
    /// The order should be retried.
    Retry,
    /// The order should be retried after the backoff that the server requested.
    RetryAfter(Duration),
    /// The server is departing and accepts no more orders.
    Departing,
    /// Another lease holder has sent orders.
    Fenced,
    /// The server is gone, or can't execute the order.
    Gone,
}

/// Result of an order, and the number of orders that the server has accepted, if known.
pub(crate) struct TaskOutcome {
    pub order: Order,
    pub result: OrderResult,
    pub orders: Option<u64>,
}

/// Task that executes one order.
pub(crate) struct OrderTask {
    pub dialect: Arc<dyn OrderDialect>,
    pub calls: FleetCalls,
    /// Consensus term of the lease; the order is sent only in this term.
    pub term: u64,
    pub address: SocketAddrV4,
    pub order: Order,
    pub from_version: u64,
}

impl OrderTask {
    pub(crate) async fn run(self) -> TaskOutcome {
        sleep(ROUTER_NOTICE_PERIOD).await;
        let (result, orders) = match is_confirmed_leader(&self.calls, Some(self.term)) {
            true => self.execute().await,
            false => (OrderResult::Retry, None),
        };
        TaskOutcome { order: self.order, result, orders }
    }

    async fn execute(&self) -> (OrderResult, Option<u64>) {
        let answer = send_order(&*self.dialect, self.address, &self.order).await;
        self.log_answer(&answer);
        let expected = self.order.expected_orders;
        let answer = match answer {
            Ok((answer, notice)) => match result_from_notice(&notice) {
                // The server executes an accepted order regardless of its notices.
                Some(result) if answer != OrderAnswer::Taken => return (result, None),
                _ => Ok(answer),
            },
            Err(error) => Err(error),
        };
        match answer {
            Ok(OrderAnswer::Taken) => self.poll_until_loaded(expected + 1).await,
            Ok(OrderAnswer::AlreadyDone) => (OrderResult::Renewed(self.order.version), None),
            Ok(OrderAnswer::Fenced) => (OrderResult::Fenced, None),
            Ok(OrderAnswer::OtherServer | OrderAnswer::Refused(_)) => (OrderResult::Gone, None),
            Ok(OrderAnswer::Conflict) | Err(_) => match self.query_state().await {
                Ok(state) => self.result_from_state(&state, OrderResult::Retry),
                Err(result) => (result, None),
            },
        }
    }

    /// Polls the server until it has loaded the weights.
    async fn poll_until_loaded(&self, expected_count: u64) -> (OrderResult, Option<u64>) {
        let deadline = Instant::now() + ORDER_TIMEOUT;
        sleep(FIRST_POLL_DELAY).await;
        while Instant::now() < deadline {
            match self.query_state().await {
                // The server may report a state from before the order.
                Ok(state) if state.orders >= expected_count && !state.busy => {
                    return self.result_from_state(&state, OrderResult::Retry);
                }
                Ok(_) => {}
                Err(result) => return (result, None),
            }
            sleep(POLL_INTERVAL).await;
        }
        (OrderResult::Retry, Some(expected_count))
    }

    fn result_from_state(
        &self,
        state: &ServerState,
        fallback: OrderResult,
    ) -> (OrderResult, Option<u64>) {
        let held = state.versions.iter().find(|(model, _)| *model == self.order.model);
        let version = held.map_or(0, |(_, version)| *version);
        let result = match version >= self.order.version && !state.busy {
            true => OrderResult::Renewed(version),
            false => fallback,
        };
        (result, Some(state.orders))
    }

    /// The server's state, or the result of the order if the state is unavailable.
    async fn query_state(&self) -> Result<ServerState, OrderResult> {
        let instance = &self.order.instance;
        let (state, notice) = match request_state(&*self.dialect, self.address).await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!("event=order_state_unknown instance={instance} reason=\"{error}\"");
                return Err(OrderResult::Retry);
            }
        };
        let Some(state) = state else {
            log::warn!("event=order_state_unknown instance={instance} reason=unreadable");
            return Err(result_from_notice(&notice).unwrap_or(OrderResult::Retry));
        };
        log::info!(
            "event=order_state instance={instance} orders={} busy={} versions={:?}",
            state.orders,
            state.busy,
            state.versions.iter().map(|held| held.1).collect::<Vec<_>>()
        );
        Ok(state)
    }

    fn log_answer(&self, answer: &Result<WithNotice<OrderAnswer>, ExchangeError>) {
        let text = match answer {
            Ok((answer, notice)) if *notice == ServerNotice::default() => format!("{answer:?}"),
            Ok((answer, notice)) => format!("{answer:?} {notice:?}"),
            Err(error) => error.to_string(),
        };
        let order = &self.order;
        log::info!(
            "event=order_given instance={} model={} version={} from_version={} token={} \
             expected_orders={} answer=\"{text}\"",
            order.instance,
            order.model,
            order.version,
            self.from_version,
            order.token,
            order.expected_orders
        );
    }
}

/// Result of an order that follows from the server's notices, if any.
fn result_from_notice(notice: &ServerNotice) -> Option<OrderResult> {
    if notice.departure == DepartureNotice::Departing {
        return Some(OrderResult::Departing);
    }
    match notice.backoff {
        RequestedBackoff::For(backoff) => Some(OrderResult::RetryAfter(backoff)),
        RequestedBackoff::Nothing | RequestedBackoff::Invalid(_) => None,
    }
}
