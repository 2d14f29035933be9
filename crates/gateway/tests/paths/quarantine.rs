//! Requests under which several servers crashed are sent to no other server; other requests are.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use juniper_protocol::message::{Crash, CrashClearance, CrashUpdate, RouterUpdate};
use juniper_registry::{InstanceId, InstanceName, StartTime};
use juniper_types::RequestFingerprint;
use tokio::time::sleep;

use crate::support::caller::{Answer, ask, get, request_head};
use crate::support::server::{
    FakeServer, LAST_CHUNK, Step, complete_answer, event, header, healthy, open_ended_head,
    stream_head,
};
use crate::support::{TEST_TIMEOUT, TestGateway};

/// Median time from a crash until it is proven: a few round trips on loopback, and less than callers
/// wait before they repeat a request.
const MAX_PROOF_TIME: Duration = Duration::from_millis(50);

/// Starts a server that crashes under requests for paths with `bad`, before its answer or in
/// mid-stream, and answers all others.
async fn crashing_server(name: &str) -> FakeServer {
    FakeServer::start(name, |_, head| {
        let crashes_it = head.lines().next().is_some_and(|line| line.contains("bad"));
        match crashes_it {
            true if head.contains("midway") => {
                let beginning = [Step::Send(stream_head(head, "s")), Step::Send(event(1))];
                beginning
                    .into_iter()
                    .chain([Step::Wait(Duration::from_millis(30)), Step::Crash])
                    .collect()
            }
            true => vec![Step::Crash],
            false if head.contains("/resumable/") => {
                vec![Step::Send(stream_head(head, "s") + &event(1) + LAST_CHUNK)]
            }
            false => vec![Step::Send(complete_answer(head, "200 OK", "fine"))],
        }
    })
    .await
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Published crashes, without duplicates.
fn published_crashes(gateway: &TestGateway) -> BTreeSet<(RequestFingerprint, InstanceName)> {
    let (crashes, _) = gateway.control.published_crashes();
    crashes.into_iter().map(|crash| (crash.request, crash.instance)).collect()
}

fn bad_requests(servers: &[FakeServer]) -> usize {
    let heads = servers.iter().flat_map(FakeServer::requests);
    heads.filter(|head| head.contains("bad")).count()
}

async fn start(count: usize) -> (Vec<FakeServer>, TestGateway) {
    let mut servers = Vec::new();
    for number in 0..count {
        servers.push(crashing_server(&format!("s{number}")).await);
    }
    let gateway = TestGateway::start(&servers.iter().collect::<Vec<_>>()).await;
    (servers, gateway)
}

/// Sends the request until three servers have crashed under it.
async fn crash_three(gateway: &TestGateway, servers: &[FakeServer], path: &str) -> usize {
    for number in 0..6 {
        get(gateway.callers, path, &format!("first{number}")).await;
        let crashed = bad_requests(servers);
        wait_for("each crash is proved and published", || {
            published_crashes(gateway).len() == crashed
        })
        .await;
        if crashed >= 3 {
            return crashed;
        }
    }
    panic!("fewer than three servers crashed");
}

async fn check_quarantine(path: &str) {
    let (servers, gateway) = start(6).await;
    let before = crash_three(&gateway, &servers, path).await;
    assert!(before <= 4, "{before}: no more than the last request's attempts allow");
    for number in 0..4 {
        let started_at = Instant::now();
        let answer = get(gateway.callers, path, &format!("again{number}")).await;
        assert_eq!((answer.status, answer.header("retry-after")), (502, None));
        assert!(answer.body.contains("quarantined"), "{}", answer.body);
        assert!(started_at.elapsed() < Duration::from_millis(500), "at once");
    }
    assert_eq!(bad_requests(&servers), before, "no server gets the request any more");
    let other = get(gateway.callers, &format!("{path}-other").replace("bad", "good"), "o").await;
    assert_eq!((other.status, other.complete), (200, true), "another request is served");
    wait_for("the quarantine is recorded", || !gateway.control.quarantined().is_empty()).await;
    let request = gateway.control.quarantined().remove(0);
    assert_eq!(request.servers.len(), 3);
    assert!(published_crashes(&gateway).iter().all(|(crashed, _)| *crashed == request.request));
}

#[tokio::test]
async fn a_repeatable_request_that_crashed_three_servers_is_sent_to_no_other() {
    check_quarantine("/safe/bad").await;
}

#[tokio::test]
async fn an_at_most_once_request_that_crashed_three_servers_is_sent_to_no_other() {
    check_quarantine("/once/bad").await;
}

#[tokio::test]
async fn a_stream_that_crashed_three_servers_midway_is_sent_to_no_other() {
    check_quarantine("/resumable/bad-midway").await;
}

/// Guards against a request that crashes a server each time and is cleared by the rest of its stream.
#[tokio::test]
async fn the_rest_of_a_stream_clears_a_request_that_crashes_servers() {
    let mut servers = Vec::new();
    for number in 0..8 {
        let name = format!("s{number}");
        let server = FakeServer::start(&name, |_, head| {
            let first = [Step::Send(stream_head(head, "s")), Step::Send(event(1))];
            let end = match header(head, "x-last") {
                None => vec![Step::Wait(Duration::from_millis(30)), Step::Crash],
                Some(_) => vec![Step::Send(event(2) + LAST_CHUNK)],
            };
            first.into_iter().chain(end).collect()
        });
        servers.push(server.await);
    }
    let gateway = TestGateway::start(&servers.iter().collect::<Vec<_>>()).await;
    for number in 1..=3 {
        let answer = get(gateway.callers, "/resumable/x", &format!("r{number}")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "resumed elsewhere");
        wait_for("published", || published_crashes(&gateway).len() == number).await;
    }
    let answer = get(gateway.callers, "/resumable/x", "r4").await;
    assert!(answer.body.contains("quarantined"), "{} {}", answer.status, answer.body);
    assert_eq!(published_crashes(&gateway).len(), 3);
}

/// Guards against crashes that are proven only after the request has been repeated at more servers.
#[tokio::test]
async fn a_crash_is_proven_late() {
    let (_servers, gateway) = start(9).await;
    let mut delays = Vec::new();
    for number in 1..=7 {
        let path = format!("/once/bad{number}");
        get(gateway.callers, &path, &format!("r{number}")).await;
        let answered_at = Instant::now();
        while published_crashes(&gateway).len() < number {
            assert!(answered_at.elapsed() < TEST_TIMEOUT, "the crash is proven");
            sleep(Duration::from_millis(1)).await;
        }
        delays.push(answered_at.elapsed());
    }
    delays.sort();
    let median = delays[delays.len() / 2];
    assert!(median < MAX_PROOF_TIME, "{delays:?}");
}

/// The same path with another body or tenant is another request.
#[tokio::test]
async fn another_body_or_tenant_is_another_request() {
    let (servers, gateway) = start(8).await;
    let before = crash_three(&gateway, &servers, "/once/bad").await;
    let head = request_head("GET", "/once/bad", "r1");
    let body = format!("{head}content-length: 4\r\n\r\nbody");
    assert_eq!(ask(gateway.callers, &body).await.status, 502);
    assert_eq!(bad_requests(&servers), before + 1);
    let other = format!("{}\r\n", head.replace("x-key: good", "x-key: limited"));
    assert_eq!(ask(gateway.callers, &other).await.status, 502);
    assert_eq!(bad_requests(&servers), before + 2);
}

/// Only connections break here, no server crashes.
#[tokio::test]
async fn a_broken_connection_does_not_count_as_a_crash() {
    let server = FakeServer::start("a", |_, _| vec![Step::Close]).await;
    let gateway = TestGateway::start(&[&server]).await;
    for number in 0..6 {
        assert_eq!(get(gateway.callers, "/once/x", &format!("r{number}")).await.status, 502);
        sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(server.requests().len(), 6);
    assert!(published_crashes(&gateway).is_empty(), "{:?}", published_crashes(&gateway));
}

fn crash_update(request: RequestFingerprint, server: &str) -> RouterUpdate {
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

/// One server crashed here, two at other routers. Rebroadcasts of a crash count once.
#[tokio::test]
async fn crashes_at_several_routers_are_added() {
    let (servers, gateway) = start(6).await;
    let send = async |id: &str| -> Answer { get(gateway.callers, "/once/bad", id).await };
    assert_eq!(send("r1").await.status, 502);
    wait_for("published", || published_crashes(&gateway).len() == 1).await;
    let fingerprint = published_crashes(&gateway).pop_first().expect("published").0;
    for server in ["elsewhere-1", "elsewhere-1", "elsewhere-1"] {
        gateway.control.send_peer_update(1, "south", crash_update(fingerprint, server));
        sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(send("r2").await.status, 502);
    assert_eq!(bad_requests(&servers), 2, "two crashes don't suffice");
    wait_for("published", || published_crashes(&gateway).len() == 2).await;
    let answer = send("r3").await;
    assert!(answer.body.contains("quarantined"), "{}", answer.body);
    assert_eq!(bad_requests(&servers), 2);
}

/// A complete answer shows that the request doesn't crash servers, which may have lost power
/// instead.
#[tokio::test]
async fn a_complete_answer_here_or_elsewhere_clears_a_request() {
    let (_servers, gateway) = start(2).await;
    let (_others, elsewhere) = start(6).await;
    // Gets the request's fingerprint from a gateway whose servers crash under it.
    get(elsewhere.callers, "/once/bad", "r1").await;
    wait_for("published", || published_crashes(&elsewhere).len() == 1).await;
    let fingerprint = published_crashes(&elsewhere).pop_first().expect("published").0;
    for server in ["e1", "e2"] {
        elsewhere.control.send_peer_update(1, "south", crash_update(fingerprint, server));
    }
    let instances = ["e1", "e2"].map(InstanceId::new).to_vec();
    let cleared = vec![CrashClearance::new(fingerprint, &instances)];
    let crashes = Some(CrashUpdate { crashes: Vec::new(), cleared });
    elsewhere.control.send_peer_update(
        2,
        "south",
        RouterUpdate { crashes, ..RouterUpdate::default() },
    );
    sleep(Duration::from_millis(200)).await;
    let answer = get(elsewhere.callers, "/once/bad", "r2").await;
    assert!(!answer.body.contains("quarantined"), "only the crash here counts: {}", answer.body);

    // Two servers crashed elsewhere under a request that is answered here.
    let head = format!("{}\r\n", request_head("GET", "/once/good", "g1"));
    let good_fingerprint = fingerprint_of("/once/good");
    for server in ["e3", "e4"] {
        gateway.control.send_peer_update(1, "south", crash_update(good_fingerprint, server));
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(ask(gateway.callers, &head).await.status, 200);
    wait_for("the clearance is published", || !gateway.control.published_crashes().1.is_empty())
        .await;
    let (_, cleared) = gateway.control.published_crashes();
    assert_eq!((cleared[0].request, cleared[0].instances.len()), (good_fingerprint, 2));
    gateway.control.send_peer_update(1, "south", crash_update(good_fingerprint, "e5"));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(ask(gateway.callers, &head).await.status, 200, "only one crash counts");
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

/// The end of a departing server is planned, whatever requests are in flight.
#[tokio::test]
async fn the_end_of_a_departing_server_does_not_count_as_a_crash() {
    let server =
        FakeServer::start("a", |_, _| vec![Step::Wait(Duration::from_millis(400)), Step::Crash])
            .await;
    let other = healthy("b").await;
    let gateway = TestGateway::start(&[&server]).await;
    let sent = get(gateway.callers, "/once/x", "r1");
    let leave = async {
        sleep(Duration::from_millis(100)).await;
        let state = juniper_registry::InstanceState::Draining;
        let report = juniper_registry::InstanceReport { state, sequence: 2, ..server.report() };
        gateway.control.add_server(report);
        gateway.control.add_server(other.report());
    };
    let (answer, ()) = tokio::join!(sent, leave);
    assert_eq!(answer.status, 502);
    sleep(Duration::from_millis(700)).await;
    assert!(published_crashes(&gateway).is_empty(), "{:?}", published_crashes(&gateway));
}

/// Guards against a server whose end after a whole event is taken for the end of its answer: neither a
/// length nor a last chunk shows that the answer is complete.
#[tokio::test]
async fn a_crash_between_two_events_clears_the_stream_that_caused_it() {
    let mut servers = Vec::new();
    for number in 0..6 {
        let name = format!("s{number}");
        let server = FakeServer::start(&name, |_, head| {
            let first = format!("{}id: 1\ndata: d1\n\n", open_ended_head(head));
            vec![Step::Send(first), Step::Wait(Duration::from_millis(30)), Step::Crash]
        });
        servers.push(server.await);
    }
    let gateway = TestGateway::start(&servers.iter().collect::<Vec<_>>()).await;
    for number in 1..=3 {
        let answer = get(gateway.callers, "/stream/x", &format!("r{number}")).await;
        assert_eq!(answer.status, 200);
        wait_for("published", || published_crashes(&gateway).len() == number).await;
    }
    let answer = get(gateway.callers, "/stream/x", "r4").await;
    assert!(answer.body.contains("quarantined"), "{} {}", answer.status, answer.body);
}

/// An answer that ends with its connection is passed on, and counts for nothing while its server
/// lives.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_counts_as_a_crash() {
    let server = FakeServer::start("a", |_, head| {
        vec![Step::Send(format!("{}id: 1\ndata: d1\n\n", open_ended_head(head))), Step::Close]
    })
    .await;
    let gateway = TestGateway::start(&[&server]).await;
    for number in 0..6 {
        let answer = get(gateway.callers, "/stream/x", &format!("r{number}")).await;
        assert_eq!((answer.status, answer.complete), (200, true));
        sleep(Duration::from_millis(50)).await;
    }
    assert!(published_crashes(&gateway).is_empty(), "{:?}", published_crashes(&gateway));
}
