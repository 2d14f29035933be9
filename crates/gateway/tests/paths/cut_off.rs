//! A router that is partitioned from all servers, beside one that reaches them.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use juniper_protocol::message::{RouterUpdate, ServerNoticeUpdate};
use juniper_protocol::{ClusterKey, Message, PeerRole, Reply, Request, connect};
use juniper_registry::{InstanceReport, StartTime};
use juniper_types::NodeId;
use socket2::{Domain, Socket, Type};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::caller::{get, request_head};
use crate::support::link::silent_listener;
use crate::support::router::RouterProcess;
use crate::support::server::{FakeServer, Step, complete_answer, healthy, open_ended_head};
use crate::support::{KEY, TEST_TIMEOUT, TestGateway, identity, loopback};

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

/// Sends an update of the router that reaches the server to the other one.
fn announce(reaching: &TestGateway, cut_off: &TestGateway) {
    let SocketAddr::V4(internal) = reaching.internal else { panic!("IPv4") };
    let update = RouterUpdate { ended_requests: vec![1], ..RouterUpdate::default() };
    cut_off.control.send_peer_update(NodeId::of_address(internal).0, "north", update);
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
        announce(&router.reaching, &router.cut_off);
        tokio::time::sleep(Duration::from_millis(150)).await;
        router
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

/// Server whose answers have neither a length nor chunks, and whose connections end like this.
async fn open_ended_server(end: Step) -> FakeServer {
    FakeServer::start("a", move |_, head| {
        let first = format!("{}id: 1\ndata: d1\n\n", open_ended_head(head));
        vec![Step::Send(first), Step::Wait(Duration::from_millis(50)), end.clone()]
    })
    .await
}

#[tokio::test]
async fn an_answer_that_was_reset_behind_a_tunnel_looks_complete() {
    for (end, is_complete) in [(Step::Reset, false), (Step::Close, true)] {
        let server = open_ended_server(end.clone()).await;
        let router = CutOffRouter::start(&server, Cut::Refused).await;
        let answer = get(router.cut_off.callers, "/stream/x", "r1").await;
        assert_eq!((answer.status, answer.complete), (200, is_complete), "{end:?}");
    }
}

/// The system closes the connections of a process that was killed in order.
#[tokio::test]
async fn an_answer_looks_complete_after_its_helper_was_killed() {
    let server = open_ended_server(Step::Wait(TEST_TIMEOUT)).await;
    let helper = RouterProcess::start().await;
    helper.gateway.control.add_server(server.report());
    let cut_off = TestGateway::start(&[]).await;
    let (address, _sockets) = dead_address(Cut::Refused);
    cut_off.control.add_server(InstanceReport { address, ..server.report() });
    announce(&helper.gateway, &cut_off);
    tokio::time::sleep(Duration::from_millis(150)).await;
    let callers = cut_off.callers;
    let answer = tokio::spawn(async move { get(callers, "/stream/x", "r1").await });
    while server.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(helper);
    let answer = tokio::time::timeout(TEST_TIMEOUT, answer).await.expect("in time");
    let answer = answer.expect("no panic");
    assert_eq!((answer.status, answer.complete), (200, false));
}

/// Server that refuses its first request and asks for a pause, and serves the others.
async fn pausing_server() -> FakeServer {
    FakeServer::start("a", |number, head| {
        let status = if number == 0 { "503 Busy\r\nx-not-run: 1\r\nx-pause: 5" } else { "200 OK" };
        vec![Step::Send(complete_answer(head, status, "text"))]
    })
    .await
}

/// The server sees the helper's address, whichever router sends.
#[tokio::test]
async fn a_pause_that_a_helper_was_asked_for_is_ignored_by_its_tunnels() {
    let server = pausing_server().await;
    let router = CutOffRouter::start(&server, Cut::Refused).await;
    assert_eq!(get(router.reaching.callers, "/safe/x", "r0").await.status, 503);
    for number in 0..3 {
        assert_eq!(router.status("/once/x", &format!("r{number}")).await, 503);
    }
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn a_pause_that_came_through_a_tunnel_is_ignored_by_its_helper() {
    let server = pausing_server().await;
    let router = CutOffRouter::start(&server, Cut::Refused).await;
    assert_eq!(router.status("/once/x", "r0").await, 503);
    let published = async {
        while router.cut_off.control.published_notices().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, published).await.expect("in time");
    let mut notices = router.cut_off.control.published_notices();
    let SocketAddr::V4(internal) = router.reaching.internal else { panic!("IPv4") };
    assert_eq!(notices[0].through, Some(NodeId::of_address(internal)));
    // The helper's identity in these tests isn't its address.
    notices[0].through = Some(identity(PeerRole::Router, 77).node);
    let update = RouterUpdate { notices: Some(notices), ..RouterUpdate::default() };
    router.reaching.control.send_peer_update(78, "north", update);
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(get(router.reaching.callers, "/safe/x", "r1").await.status, 503);
    assert_eq!(server.requests().len(), 1);
}

/// Tunnels that are open already carry further requests from the helper's address.
#[tokio::test]
async fn a_pause_that_another_router_was_asked_for_is_ignored_by_a_cut_off_router() {
    let server = healthy("a").await;
    let router = CutOffRouter::start(&server, Cut::Refused).await;
    assert_eq!(router.status("/once/x", "r0").await, 200);
    let notice = ServerNoticeUpdate {
        instance: server.report().name,
        started: StartTime::UNKNOWN,
        backoff_ms: 5_000,
        is_departing: false,
        through: None,
    };
    let update = RouterUpdate { notices: Some(vec![notice]), ..RouterUpdate::default() };
    let SocketAddr::V4(internal) = router.reaching.internal else { panic!("IPv4") };
    router.cut_off.control.send_peer_update(NodeId::of_address(internal).0, "north", update);
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(router.status("/once/x", "r1").await, 503);
    assert_eq!(server.requests().len(), 1);
}

/// A router that is cut off and knows of these others, by the addresses that they listen on.
async fn cut_off_beside(
    server: &FakeServer,
    helpers: &[&TestGateway],
) -> (TestGateway, Vec<Socket>) {
    let cut_off = TestGateway::start(&[]).await;
    let (address, sockets) = dead_address(Cut::Refused);
    cut_off.control.add_server(InstanceReport { address, ..server.report() });
    for helper in helpers {
        let SocketAddr::V4(internal) = helper.internal else { panic!("IPv4") };
        let update = RouterUpdate { ended_requests: vec![1], ..RouterUpdate::default() };
        cut_off.control.send_peer_update(NodeId::of_address(internal).0, "north", update);
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    (cut_off, sockets)
}

/// A helper that says that it can't reach the server ends the search after two of them.
#[tokio::test]
async fn helpers_that_are_cut_off_themselves_hide_one_that_reaches_the_server() {
    let (server, other) = (healthy("a").await, healthy("b").await);
    let reaching = TestGateway::start(&[&server]).await;
    let mut cut_off_helpers = Vec::new();
    let mut sockets = Vec::new();
    for _ in 0..3 {
        let helper = TestGateway::start(&[]).await;
        for report in [server.report(), other.report()] {
            let (address, socket) = dead_address(Cut::Refused);
            helper.control.add_server(InstanceReport { address, ..report });
            sockets.extend(socket);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        for number in 0..3 {
            assert_eq!(get(helper.callers, "/once/x", &format!("h{number}")).await.status, 503);
        }
        cut_off_helpers.push(helper);
    }
    let helpers: Vec<&TestGateway> = cut_off_helpers.iter().chain([&reaching]).collect();
    // Each asks the helpers in another random order.
    for number in 0..8 {
        let (cut_off, _sockets) = cut_off_beside(&server, &helpers).await;
        let answer = get(cut_off.callers, "/once/x", &format!("r{number}")).await;
        assert_eq!(answer.status, 200, "router {number}");
    }
}

/// A tunnel through a router that is about to end would break with it.
#[tokio::test]
async fn a_router_that_stops_opens_tunnels() {
    let server = FakeServer::start("a", |number, head| match number {
        0 => vec![Step::Wait(Duration::from_secs(2))],
        _ => vec![Step::Send(complete_answer(head, "200 OK", "fine"))],
    })
    .await;
    let mut reaching = TestGateway::start(&[&server]).await;
    // A request in flight keeps the router from ending.
    let callers = reaching.callers;
    let in_flight = tokio::spawn(async move { get(callers, "/once/x", "r0").await });
    while server.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    reaching.stop();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let (cut_off, _sockets) = cut_off_beside(&server, &[&reaching]).await;
    assert_eq!(get(cut_off.callers, "/once/x", "r1").await.status, 503);
    assert_eq!(server.requests().len(), 1);
    in_flight.abort();
}

/// Replicas hold the same key, but have nothing to send to servers.
#[tokio::test]
async fn a_peer_that_is_no_router_opens_a_tunnel() {
    let server = healthy("a").await;
    let reaching = TestGateway::start(&[&server]).await;
    let key = ClusterKey::from_text(KEY).expect("long enough");
    let is_opened = async |role| {
        let own = identity(role, 5);
        let mut connection = connect(reaching.internal, &key, &own).await.expect("connected");
        let (instance, started) = (server.report().name, StartTime::UNKNOWN);
        let request = Request::OpenTunnel { instance, started };
        connection.writer.send(&Message::Request { call: 1, request }).await.expect("sent");
        matches!(connection.reader.receive().await, Ok(Message::Reply { reply: Reply::Done, .. }))
    };
    assert!(is_opened(PeerRole::Router).await);
    assert!(!is_opened(PeerRole::Control).await);
}

/// The cut-off router may not have heard of the departure.
#[tokio::test]
async fn a_server_that_leaves_gets_requests_through_a_tunnel() {
    let server = FakeServer::start("a", |_, head| {
        vec![Step::Send(complete_answer(head, "200 OK\r\nx-leaving: 1", "fine"))]
    })
    .await;
    let router = CutOffRouter::start(&server, Cut::Refused).await;
    assert_eq!(get(router.reaching.callers, "/safe/x", "r0").await.status, 200);
    assert_eq!(router.status("/once/x", "r1").await, 503);
    assert_eq!(server.requests().len(), 1);
}
