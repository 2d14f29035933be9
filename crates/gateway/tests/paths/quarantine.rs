//! Requests under which servers ended are sent to no server any more; their neighbours are.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use juniper_protocol::message::{Crash, CrashClearance, CrashUpdate, RouterUpdate};
use juniper_registry::{InstanceId, InstanceName, StartTime};
use juniper_types::RequestFingerprint;
use tokio::time::sleep;

use crate::support::caller::{Answer, ask, get, request};
use crate::support::server::{END, FakeServer, Step, event, good, stream_head, whole};
use crate::support::{PATIENCE, TestGateway};

/// A server that ends under requests for a path with `bad` in it, before or after the head of a
/// stream, and answers all others.
async fn fragile(name: &str) -> FakeServer {
    FakeServer::start(name, |_, head| {
        let is_bad = head.lines().next().is_some_and(|line| line.contains("bad"));
        match is_bad {
            true if head.contains("midway") => {
                let begun = [Step::Send(stream_head(head, "s")), Step::Send(event(1))];
                begun
                    .into_iter()
                    .chain([Step::Wait(Duration::from_millis(30)), Step::End])
                    .collect()
            }
            true => vec![Step::End],
            false if head.contains("/resumable/") => {
                vec![Step::Send(stream_head(head, "s") + &event(1) + END)]
            }
            false => vec![Step::Send(whole(head, "200 OK", "fine"))],
        }
    })
    .await
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Ends of servers that the gateway has told of, each once.
fn told(gateway: &TestGateway) -> BTreeSet<(RequestFingerprint, InstanceName)> {
    let (crashes, _) = gateway.control.told_crashes();
    crashes.into_iter().map(|crash| (crash.request, crash.instance)).collect()
}

fn reached(servers: &[FakeServer]) -> usize {
    let heads = servers.iter().flat_map(FakeServer::requests);
    heads.filter(|head| head.contains("bad")).count()
}

async fn start(count: usize) -> (Vec<FakeServer>, TestGateway) {
    let mut servers = Vec::new();
    for number in 0..count {
        servers.push(fragile(&format!("s{number}")).await);
    }
    let gateway = TestGateway::start(&servers.iter().collect::<Vec<_>>()).await;
    (servers, gateway)
}

/// Sends the request until three servers have ended under it.
async fn end_three(gateway: &TestGateway, servers: &[FakeServer], path: &str) -> usize {
    for number in 0..6 {
        get(gateway.callers, path, &format!("first{number}")).await;
        let ended = reached(servers);
        wait_for("each end is proved and told", || told(gateway).len() == ended).await;
        if ended >= 3 {
            return ended;
        }
    }
    panic!("three servers end");
}

async fn is_given_up(path: &str) {
    let (servers, gateway) = start(6).await;
    let before = end_three(&gateway, &servers, path).await;
    assert!(before <= 4, "{before}: no more than the last attempt of the caller allows");
    for number in 0..4 {
        let begun = Instant::now();
        let answer = get(gateway.callers, path, &format!("again{number}")).await;
        assert_eq!((answer.status, answer.header("retry-after")), (502, None));
        assert!(answer.body.contains("quarantined"), "{}", answer.body);
        assert!(begun.elapsed() < Duration::from_millis(500), "at once");
    }
    assert_eq!(reached(&servers), before, "no server is reached any more");
    let other = get(gateway.callers, &format!("{path}-other").replace("bad", "good"), "o").await;
    assert_eq!((other.status, other.complete), (200, true), "another request is served");
    wait_for("it is recorded", || !gateway.control.quarantined().is_empty()).await;
    let call = gateway.control.quarantined().remove(0);
    assert_eq!(call.servers.len(), 3);
    assert!(told(&gateway).iter().all(|(request, _)| *request == call.request));
}

#[tokio::test]
async fn a_call_under_which_three_servers_ended_is_sent_to_no_other() {
    is_given_up("/safe/bad").await;
}

#[tokio::test]
async fn a_request_that_may_run_once_under_which_three_servers_ended_is_sent_to_no_other() {
    is_given_up("/once/bad").await;
}

#[tokio::test]
async fn a_stream_under_which_three_servers_ended_midway_is_sent_to_no_other() {
    is_given_up("/resumable/bad-midway").await;
}

/// The same path with another body or from another tenant is another request.
#[tokio::test]
async fn another_body_or_tenant_is_another_request() {
    let (servers, gateway) = start(8).await;
    let before = end_three(&gateway, &servers, "/once/bad").await;
    let head = request("GET", "/once/bad", "r1");
    let body = format!("{head}content-length: 4\r\n\r\nbody");
    assert_eq!(ask(gateway.callers, &body).await.status, 502);
    assert_eq!(reached(&servers), before + 1);
    let other = format!("{}\r\n", head.replace("x-key: good", "x-key: limited"));
    assert_eq!(ask(gateway.callers, &other).await.status, 502);
    assert_eq!(reached(&servers), before + 2);
}

/// Connections break, but the servers go on: nothing is counted.
#[tokio::test]
async fn a_connection_that_broke_is_no_end_of_a_server() {
    let server = FakeServer::start("a", |_, _| vec![Step::Close]).await;
    let gateway = TestGateway::start(&[&server]).await;
    for number in 0..6 {
        assert_eq!(get(gateway.callers, "/once/x", &format!("r{number}")).await.status, 502);
        sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(server.requests().len(), 6);
    assert!(told(&gateway).is_empty(), "{:?}", told(&gateway));
}

fn crash(request: RequestFingerprint, server: &str) -> RouterUpdate {
    let crash = Crash {
        request,
        instance: InstanceName::new(server),
        age_ms: 0,
        in_flight_ms: 1,
        completed_before: false,
        started: StartTime::UNKNOWN,
    };
    let crashes = Some(CrashUpdate { crashes: vec![crash], cleared: Vec::new() });
    RouterUpdate { crashes, ..RouterUpdate::default() }
}

/// One server ended here, two at other routers. What those tell again counts once.
#[tokio::test]
async fn ends_at_several_routers_are_added() {
    let (servers, gateway) = start(6).await;
    let send = async |id: &str| -> Answer { get(gateway.callers, "/once/bad", id).await };
    assert_eq!(send("r1").await.status, 502);
    wait_for("told", || told(&gateway).len() == 1).await;
    let name = told(&gateway).pop_first().expect("told").0;
    for server in ["elsewhere-1", "elsewhere-1", "elsewhere-1"] {
        gateway.control.relay(1, "south", crash(name, server));
        sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(send("r2").await.status, 502);
    assert_eq!(reached(&servers), 2, "two ends don't suffice");
    wait_for("told", || told(&gateway).len() == 2).await;
    let answer = send("r3").await;
    assert!(answer.body.contains("quarantined"), "{}", answer.body);
    assert_eq!(reached(&servers), 2);
}

/// A neighbour of such a request, or one on servers that lost power, is answered whole somewhere.
#[tokio::test]
async fn a_whole_answer_here_or_elsewhere_clears_a_request() {
    let (_servers, gateway) = start(2).await;
    let (_others, elsewhere) = start(6).await;
    // The fingerprint of a request, from a gateway whose servers end under it.
    get(elsewhere.callers, "/once/bad", "r1").await;
    wait_for("told", || told(&elsewhere).len() == 1).await;
    let name = told(&elsewhere).pop_first().expect("told").0;
    for server in ["e1", "e2"] {
        elsewhere.control.relay(1, "south", crash(name, server));
    }
    let instances = ["e1", "e2"].map(InstanceId::new).to_vec();
    let cleared = vec![CrashClearance::new(name, &instances)];
    let crashes = Some(CrashUpdate { crashes: Vec::new(), cleared });
    elsewhere.control.relay(2, "south", RouterUpdate { crashes, ..RouterUpdate::default() });
    sleep(Duration::from_millis(200)).await;
    let answer = get(elsewhere.callers, "/once/bad", "r2").await;
    assert!(!answer.body.contains("quarantined"), "only the end here counts: {}", answer.body);

    // Two servers ended elsewhere under a request that is answered here.
    let head = format!("{}\r\n", request("GET", "/once/good", "g1"));
    let good_name = fingerprint_of("/once/good");
    for server in ["e3", "e4"] {
        gateway.control.relay(1, "south", crash(good_name, server));
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(ask(gateway.callers, &head).await.status, 200);
    wait_for("the others are told", || !gateway.control.told_crashes().1.is_empty()).await;
    let (_, cleared) = gateway.control.told_crashes();
    assert_eq!((cleared[0].request, cleared[0].instances.len()), (good_name, 2));
    gateway.control.relay(1, "south", crash(good_name, "e5"));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(ask(gateway.callers, &head).await.status, 200, "one end counts");
}

fn fingerprint_of(path: &str) -> RequestFingerprint {
    let content = juniper_types::RequestContent {
        method: "GET",
        host: "test.example",
        path,
        tenant: Some("tenant-1"),
        body: b"",
    };
    juniper_types::FingerprintKey::new([7; 32]).fingerprint(&content)
}

/// A server that says it is leaving ends as planned, whatever was under way on it.
#[tokio::test]
async fn the_end_of_a_server_that_was_leaving_is_not_counted() {
    let server =
        FakeServer::start("a", |_, _| vec![Step::Wait(Duration::from_millis(400)), Step::End])
            .await;
    let other = good("b").await;
    let gateway = TestGateway::start(&[&server]).await;
    let sent = get(gateway.callers, "/once/x", "r1");
    let leave = async {
        sleep(Duration::from_millis(100)).await;
        let state = juniper_registry::InstanceState::Draining;
        let report = juniper_registry::InstanceReport { state, sequence: 2, ..server.report() };
        gateway.control.hear(report);
        gateway.control.hear(other.report());
    };
    let (answer, ()) = tokio::join!(sent, leave);
    assert_eq!(answer.status, 502);
    sleep(Duration::from_millis(700)).await;
    assert!(told(&gateway).is_empty(), "{:?}", told(&gateway));
}
