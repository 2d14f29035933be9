//! Retries that requests earn.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::support::caller::{ask, request_head};
use crate::support::server::{FakeServer, Step};
use crate::support::{TEST_TIMEOUT, TestGateway};

/// Number of routers among which the free retries leave nothing for each.
const ROUTERS: u32 = 1_000_000;

const BODY: &str = "a body";

/// Longer than a request may take to arrive and still earn a retry.
const SLOW_BODY_DELAY: Duration = Duration::from_millis(700);

fn head(id: &str) -> String {
    format!("{}content-length: {}\r\n\r\n", request_head("POST", "/safe/x", id), BODY.len())
}

/// Guards against retries that a request earns long after its caller sent it.
#[tokio::test]
async fn requests_with_slow_bodies_exceed_the_retry_budget() {
    let script = |_: usize, _: &str| vec![Step::Close];
    let (one, other) = (FakeServer::start("a", script).await, FakeServer::start("b", script).await);
    let gateway = TestGateway::start_with(&[&one, &other], |control| {
        control.set_routers(ROUTERS);
        control.confirm();
    })
    .await;
    let arrivals = || one.requests().len() + other.requests().len();
    let mut caller = TcpStream::connect(gateway.callers).await.expect("connected");
    caller.write_all(head("r1").as_bytes()).await.expect("sent");
    sleep(SLOW_BODY_DELAY).await;
    caller.write_all(BODY.as_bytes()).await.expect("sent");
    let mut first = [0];
    timeout(TEST_TIMEOUT, caller.read_exact(&mut first)).await.expect("in time").expect("answered");
    assert_eq!(arrivals(), 1, "no retry of a request that took long to arrive");
    ask(gateway.callers, &format!("{}{BODY}", head("r2"))).await;
    assert_eq!(arrivals(), 3, "a retry of one that arrived at once");
}
