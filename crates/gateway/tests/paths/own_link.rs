//! A router whose link is full refuses new connections, and serves those that it has.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::support::caller::{get, request_head};
use crate::support::server::{FakeServer, Step, complete_answer, healthy};
use crate::support::{TEST_TIMEOUT, TestGateway, catalog};

/// Capacity of the router's link, in bytes per second.
const CAPACITY: f64 = 100_000.0;

/// Bytes of an answer that keeps the link busy for a second.
const LONG_ANSWER: usize = 100_000;

async fn start(server: &FakeServer) -> TestGateway {
    TestGateway::start_with_link(catalog(), &[server], CAPACITY).await
}

async fn is_refused(gateway: &TestGateway) -> bool {
    match TcpStream::connect(gateway.callers).await {
        Ok(_) => false,
        Err(error) => error.kind() == ErrorKind::ConnectionRefused,
    }
}

#[tokio::test]
async fn connections_are_accepted_while_the_link_is_full() {
    let server = FakeServer::start("a", |_, head| {
        let body = if head.contains("long") { "x".repeat(LONG_ANSWER) } else { "short".to_owned() };
        vec![Step::Send(complete_answer(head, "200 OK", &body))]
    })
    .await;
    let gateway = start(&server).await;
    let mut open = TcpStream::connect(gateway.callers).await.expect("connected");
    assert_eq!(get(gateway.callers, "/safe/long", "r1").await.body.len(), LONG_ANSWER);
    let full_at = Instant::now();
    while !is_refused(&gateway).await {
        assert!(full_at.elapsed() < TEST_TIMEOUT, "connections are refused");
    }
    let request = format!("{}\r\n", request_head("GET", "/safe/short", "r2"));
    open.write_all(request.as_bytes()).await.expect("the connection is open");
    let mut answer = vec![0; 15];
    open.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200 OK", "open connections are served");
    while is_refused(&gateway).await {
        assert!(full_at.elapsed() < TEST_TIMEOUT, "connections are accepted again");
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(get(gateway.callers, "/safe/short", "r3").await.status, 200);
}

#[tokio::test]
async fn a_router_with_little_load_refuses_connections() {
    let server = healthy("a").await;
    let gateway = start(&server).await;
    for number in 0..50 {
        assert_eq!(get(gateway.callers, "/safe/x", &format!("r{number}")).await.status, 200);
        sleep(Duration::from_millis(20)).await;
    }
}
