//! A router that is partitioned from all servers, beside one that reaches them.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use juniper_protocol::message::RouterUpdate;
use juniper_registry::InstanceReport;
use juniper_types::NodeId;
use socket2::{Domain, Socket, Type};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::caller::{get, request_head};
use crate::support::link::silent_listener;
use crate::support::server::{FakeServer, Step, healthy};
use crate::support::{TEST_TIMEOUT, TestGateway, loopback};

/// How connections to servers fail at the router that is cut off.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Refused,
    Silent,
}

/// Address at which connection attempts fail, and the socket that has to be kept open.
fn dead_address(cut: Cut) -> (SocketAddrV4, Vec<Socket>) {
    match cut {
        Cut::Silent => silent_listener(loopback(0)),
        Cut::Refused => {
            let bound = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            bound.bind(&SocketAddr::V4(loopback(0)).into()).expect("a port");
            let address = bound.local_addr().expect("bound").as_socket_ipv4().expect("IPv4");
            (address, vec![bound])
        }
    }
}

/// A router that reaches `server`, and one that doesn't but has heard of the first.
struct CutOffRouter {
    reaching: TestGateway,
    cut_off: TestGateway,
    _sockets: Vec<Socket>,
}

impl CutOffRouter {
    async fn start(server: &FakeServer, cut: Cut) -> Self {
        let reaching = TestGateway::start(&[server]).await;
        let cut_off = TestGateway::start(&[]).await;
        let (address, sockets) = dead_address(cut);
        cut_off.control.add_server(InstanceReport { address, ..server.report() });
        let router = CutOffRouter { reaching, cut_off, _sockets: sockets };
        router.announce();
        tokio::time::sleep(Duration::from_millis(150)).await;
        router
    }

    /// Sends an update of the router that reaches the server to the other one.
    fn announce(&self) {
        let SocketAddr::V4(internal) = self.reaching.internal else { panic!("IPv4") };
        let update = RouterUpdate { ended_requests: vec![1], ..RouterUpdate::default() };
        self.cut_off.control.send_peer_update(NodeId::of_address(internal).0, "north", update);
    }

    async fn status(&self, path: &str, id: &str) -> u16 {
        let answer = get(self.cut_off.callers, path, id);
        tokio::time::timeout(TEST_TIMEOUT, answer).await.expect("in time").status
    }
}

#[tokio::test]
async fn requests_fail_at_a_router_that_servers_refuse() {
    let server = healthy("a").await;
    let router = CutOffRouter::start(&server, Cut::Refused).await;
    for (number, path) in ["/safe/x", "/once/x", "/safe/x"].into_iter().enumerate() {
        assert_eq!(router.status(path, &format!("r{number}")).await, 200, "{path}");
    }
    assert_eq!(server.requests().len(), 3);
}

#[tokio::test]
async fn requests_fail_at_a_router_that_gets_no_answer_from_servers() {
    let server = healthy("a").await;
    let router = CutOffRouter::start(&server, Cut::Silent).await;
    // The first requests find the partition.
    for number in 0..2 {
        router.status("/safe/x", &format!("first{number}")).await;
    }
    for (number, path) in ["/safe/x", "/once/x", "/safe/x"].into_iter().enumerate() {
        assert_eq!(router.status(path, &format!("r{number}")).await, 200, "{path}");
    }
}

/// Time within which a server has to notice that the caller has left.
const RELEASE_TIME: Duration = Duration::from_millis(500);

#[tokio::test]
async fn a_caller_that_leaves_keeps_a_server_busy_through_a_tunnel() {
    let server = FakeServer::start("a", |_, _| vec![Step::Wait(TEST_TIMEOUT)]).await;
    let router = CutOffRouter::start(&server, Cut::Refused).await;
    let mut caller = TcpStream::connect(router.cut_off.callers).await.expect("connected");
    let request = format!("{}\r\n", request_head("GET", "/once/x", "r1"));
    caller.write_all(request.as_bytes()).await.expect("sent");
    while server.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    let left_at = Instant::now();
    while server.abandoned() == 0 {
        assert!(left_at.elapsed() < RELEASE_TIME, "the server still works");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A helper that is killed may have passed the request on.
#[tokio::test]
async fn a_request_that_may_not_be_repeated_runs_twice_after_its_tunnel_broke() {
    let server = FakeServer::start("a", |_, _| vec![Step::Wait(TEST_TIMEOUT)]).await;
    let CutOffRouter { reaching, cut_off, _sockets } =
        CutOffRouter::start(&server, Cut::Refused).await;
    let callers = cut_off.callers;
    let answer = tokio::spawn(async move { get(callers, "/once/x", "r1").await });
    while server.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(reaching);
    let answer = tokio::time::timeout(TEST_TIMEOUT, answer).await.expect("in time");
    let status = answer.expect("no panic").status;
    assert!([502, 504].contains(&status), "{status} promises that the request has not run");
    assert_eq!(server.requests().len(), 1);
}
