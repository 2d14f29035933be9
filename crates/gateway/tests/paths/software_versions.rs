//! Streams continue only at servers of the software version that began them.

use std::time::Duration;

use juniper_registry::SoftwareVersion;
use juniper_stream_origins::{ServedVersion, ServedVersions};

use crate::limits::get_limited;
use crate::support::caller::{Answer, ask, get, request_head};
use crate::support::control::ChargeHandling;
use crate::support::server::{FakeServer, LAST_CHUNK, Step, event, header, stream_head};
use crate::support::{TEST_TIMEOUT, TestGateway};

/// Server whose streams break after their first event, and whose rest of a stream is complete.
async fn breaking_server(name: &'static str, software: &str) -> FakeServer {
    let script = move |_: usize, head: &str| match header(head, "x-last") {
        None => vec![Step::Send(stream_head(head, name)), Step::Send(event(1)), Step::Close],
        Some(last) => {
            let next = last.parse::<u64>().expect("a number") + 1;
            let steps = [stream_head(head, name), event(next), LAST_CHUNK.to_owned()];
            steps.into_iter().map(Step::Send).collect()
        }
    };
    FakeServer::start(name, script).await.with_software(software)
}

/// Gateway that knows the streams which `other` began.
async fn second_gateway(other: &TestGateway, servers: &[&FakeServer]) -> TestGateway {
    let gateway = TestGateway::start(servers).await;
    gateway.control.add_stream_records(other.control.stream_records());
    gateway
}

/// Resumes after the first event the stream that the answer to `began` brought.
async fn resume(gateway: &TestGateway, id: &str, began: &str) -> Answer {
    let head = request_head("GET", "/resumable/x", id);
    ask(gateway.callers, &format!("{head}x-last: 1\r\nx-resumes: {began}\r\n\r\n")).await
}

fn total_requests(servers: &[&FakeServer]) -> usize {
    servers.iter().map(|server| server.requests().len()).sum()
}

#[tokio::test]
async fn a_router_resumes_a_stream_at_another_software_version() {
    let (one, other) = (breaking_server("a", "v1").await, breaking_server("b", "v2").await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    let answer = get(gateway.callers, "/resumable/x", "r1").await;
    assert!(!answer.complete && answer.body.contains("d1"), "{answer:?}");
    assert_eq!(total_requests(&[&one, &other]), 1);
}

#[tokio::test]
async fn a_caller_resumes_a_stream_of_unknown_software_version() {
    let server = breaking_server("a", "v1").await;
    let gateway = TestGateway::start(&[&server]).await;
    let answer = resume(&gateway, "r2", "r1").await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, None), "{answer:?}");
    assert_eq!(server.requests().len(), 0);
}

#[tokio::test]
async fn a_router_resumes_a_stream_although_both_versions_are_unknown() {
    let (one, other) = (breaking_server("a", "").await, breaking_server("b", "").await);
    let gateway = TestGateway::start(&[&one, &other]).await;
    let answer = get(gateway.callers, "/resumable/x", "r1").await;
    assert!(!answer.complete && answer.body.contains("d1"), "{answer:?}");
    assert_eq!(total_requests(&[&one, &other]), 1);
}

#[tokio::test]
async fn a_stream_without_events_begins_at_another_version() {
    let silent = |_: usize, head: &str| vec![Step::Send(stream_head(head, "a")), Step::Close];
    let complete = |_: usize, head: &str| {
        let steps = [stream_head(head, "b"), event(1), LAST_CHUNK.to_owned()];
        steps.into_iter().map(Step::Send).collect()
    };
    let one = FakeServer::start("a", silent).await.with_software("v1");
    let other = FakeServer::start("b", complete).await.with_software("v2");
    let gateway = TestGateway::start(&[&one, &other]).await;
    for number in 0..8 {
        let answer = get(gateway.callers, "/resumable/x", &format!("r{number}")).await;
        assert!(answer.complete && answer.body.contains("d1"), "{answer:?}");
    }
}

#[tokio::test]
async fn a_caller_resumes_a_stream_of_another_router_at_another_software_version() {
    let (one, other) = (breaking_server("a", "v1").await, breaking_server("b", "v2").await);
    let first = TestGateway::start(&[&one]).await;
    assert!(get(first.callers, "/resumable/x", "r1").await.body.contains("d1"));
    let second = second_gateway(&first, &[&one, &other]).await;
    for number in 0..6 {
        let answer = resume(&second, &format!("s{number}"), "r1").await;
        assert!(answer.complete && answer.body.contains("d2"), "{answer:?}");
    }
    assert_eq!(other.requests().len(), 0);
    let third = second_gateway(&first, &[&other]).await;
    let answer = resume(&third, "t1", "r1").await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, None), "{answer:?}");
    assert!(answer.body.contains("software_version_gone"), "{answer:?}");
    assert_eq!(other.requests().len(), 0);
}

/// The caller names the attempt that brought the first event, in whichever answer it has lost.
#[tokio::test]
async fn a_stream_that_breaks_again_is_not_resumed_a_second_time() {
    let once_more = |_: usize, head: &str| match header(head, "x-last") {
        None => vec![Step::Send(stream_head(head, "a")), Step::Send(event(1)), Step::Close],
        Some("1") => vec![Step::Send(stream_head(head, "a")), Step::Send(event(2)), Step::Close],
        Some(_) => [stream_head(head, "a"), event(3), LAST_CHUNK.to_owned()].map(Step::Send).into(),
    };
    let server = FakeServer::start("a", once_more).await;
    let first = TestGateway::start(&[&server]).await;
    assert!(get(first.callers, "/resumable/x", "r1").await.body.contains("d1"));
    let second = second_gateway(&first, &[&server]).await;
    assert!(resume(&second, "r2", "r1").await.body.contains("d2"));
    let third = second_gateway(&second, &[&server]).await;
    let head = request_head("GET", "/resumable/x", "r3");
    let answer = ask(third.callers, &format!("{head}x-last: 2\r\nx-resumes: r1\r\n\r\n")).await;
    assert!(answer.complete && answer.body.contains("d3"), "{answer:?}");
}

#[tokio::test]
async fn a_caller_resumes_a_stream_of_another_tenant() {
    let server = breaking_server("a", "v1").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert!(get(gateway.callers, "/resumable/x", "r1").await.body.contains("d1"));
    let head = request_head("GET", "/resumable/x", "r2").replace("good", "limited");
    let answer = ask(gateway.callers, &format!("{head}x-last: 1\r\nx-resumes: r1\r\n\r\n")).await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, None), "{answer:?}");
    assert_eq!(server.requests().len(), 1);
}

/// Resumes a stream without naming the request that began it.
async fn resume_unnamed(gateway: &TestGateway, id: &str) -> Answer {
    let head = request_head("GET", "/resumable/x", id);
    ask(gateway.callers, &format!("{head}x-last: 1\r\n\r\n")).await
}

#[tokio::test]
async fn a_caller_resumes_an_unnamed_stream_while_several_versions_serve() {
    let (one, other) = (breaking_server("a", "v1").await, breaking_server("b", "v2").await);
    let gateway = TestGateway::start(&[&one]).await;
    let answer = resume_unnamed(&gateway, "r2").await;
    assert!(answer.complete && answer.body.contains("d2"), "{answer:?}");
    gateway.control.add_server(other.report());
    tokio::time::sleep(Duration::from_millis(200)).await;
    let answer = resume_unnamed(&gateway, "r3").await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, None), "{answer:?}");
}

fn served(known_ms: u64, versions: &[(&str, Option<u64>)]) -> ServedVersions {
    let version = |(software, gone_ms): &(&str, Option<u64>)| ServedVersion {
        software: SoftwareVersion::new(software),
        gone_ms: *gone_ms,
    };
    ServedVersions { known_ms, versions: versions.iter().map(version).collect() }
}

// Guards against streams joined from two versions at a router that has just started: the version that
// began them has left before.
#[tokio::test]
async fn a_caller_resumes_an_unnamed_stream_of_a_version_that_left_before_the_router_started() {
    let (one, other) = (breaking_server("a", "v1").await, breaking_server("b", "v2").await);
    let first = TestGateway::start(&[&one]).await;
    assert!(get(first.callers, "/resumable/x", "r1").await.body.contains("d1"));
    // The route's timeout is 3 s.
    let statements = [
        // The replicas have run for long and know of the version that has left.
        served(60_000, &[("v1", Some(500)), ("v2", None)]),
        served(60_000, &[("v1", Some(3_500)), ("v2", None)]),
        // They have restarted, too, and know nothing of the time before.
        served(0, &[("v2", None)]),
        served(2_900, &[("v2", None)]),
        // A server of unknown version has served.
        served(60_000, &[("", Some(500)), ("v2", None)]),
    ];
    for statement in statements {
        let second = TestGateway::start(&[&other]).await;
        second.control.set_served(statement.clone());
        let answer = resume_unnamed(&second, "s1").await;
        assert_eq!((answer.status, answer.header("retry-after")), (503, None), "{statement:?}");
        assert_eq!(other.requests().len(), 0);
    }
}

// Guards against a router that refuses more than it has to after its start.
#[tokio::test]
async fn an_unnamed_stream_goes_on_at_a_router_that_has_just_started() {
    let server = breaking_server("a", "v1").await;
    let statements = [
        served(60_000, &[("v1", None)]),
        served(4_100, &[("v1", None)]),
        served(60_000, &[("v1", None), ("v0", Some(4_100))]),
    ];
    for statement in statements {
        let gateway = TestGateway::start(&[&server]).await;
        gateway.control.set_served(statement.clone());
        let answer = resume_unnamed(&gateway, "s1").await;
        assert!(answer.complete && answer.body.contains("d2"), "{statement:?}: {answer:?}");
    }
}

/// Time after which the list of servers changes, and for which a stream goes on at its end.
const LIST_DELAY: Duration = Duration::from_millis(200);

/// Gap in a stream in which a router applies the changed list; shorter than the gap after which it
/// abandons a server.
const LIST_GAP: Duration = Duration::from_millis(1_400);

/// Server whose streams have two events and break, and whose rest of a stream is complete. There is
/// a gap between the first two events that it sends.
async fn slow_server(name: &'static str, software: &str) -> FakeServer {
    let script = move |number: usize, head: &str| {
        let gap = if number == 0 { LIST_GAP } else { Duration::ZERO };
        let next =
            header(head, "x-last").map_or(1, |last| last.parse::<u64>().expect("a number") + 1);
        let end = match next {
            1 => Step::Close,
            _ => Step::Send(LAST_CHUNK.to_owned()),
        };
        vec![
            Step::Send(stream_head(head, name)),
            Step::Send(event(next)),
            Step::Wait(gap),
            Step::Send(event(next + 1)),
            Step::Wait(LIST_DELAY),
            end,
        ]
    };
    FakeServer::start(name, script).await.with_software(software).with_start(1_000)
}

/// Starts a request and reports `server` with a later start and this version while it is answered.
async fn ask_during_restart(
    gateway: &TestGateway,
    head: String,
    server: &FakeServer,
    software: &str,
) -> Answer {
    let callers = gateway.callers;
    let asking = tokio::spawn(async move { ask(callers, &format!("{head}\r\n")).await });
    tokio::time::sleep(LIST_DELAY).await;
    let restarted = server.clone().with_software(software).with_start(2_000);
    gateway.control.add_server(restarted.report());
    asking.await.expect("no panic")
}

/// A heartbeat that shows a restart arrives after the new incarnation has begun streams.
#[tokio::test]
async fn a_stream_of_a_restarted_server_goes_on_at_the_version_of_its_former_incarnation() {
    let server = slow_server("a", "v1").await;
    let gateway = TestGateway::start(&[&server]).await;
    let other = breaking_server("b", "v1").await;
    let callers = request_head("GET", "/resumable/x", "r1");
    let asking = ask_during_restart(&gateway, callers, &server, "v2");
    let (answer, ()) = tokio::join!(asking, async {
        tokio::time::sleep(LIST_DELAY).await;
        gateway.control.add_server(other.report());
    });
    assert!(!answer.complete && answer.body.contains("d2"), "{answer:?}");
    assert_eq!(other.requests().len(), 0);
    let second = second_gateway(&gateway, &[&other]).await;
    let answer = resume(&second, "r2", "r1").await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, None), "{answer:?}");
    assert_eq!(other.requests().len(), 0);
}

#[tokio::test]
async fn a_resumed_stream_goes_on_at_a_server_that_has_restarted_with_another_version() {
    let breaking = breaking_server("b", "v1").await;
    let first = TestGateway::start(&[&breaking]).await;
    assert!(get(first.callers, "/resumable/x", "r1").await.body.contains("d1"));
    let server = slow_server("a", "v1").await;
    let second = second_gateway(&first, &[&server]).await;
    let head = request_head("GET", "/resumable/x", "r2") + "x-last: 1\r\nx-resumes: r1\r\n";
    let answer = ask_during_restart(&second, head, &server, "v2").await;
    assert!(!answer.complete && !answer.body.contains("d3"), "{answer:?}");
}

/// The stream and its rest come from one incarnation or from two of one version.
#[tokio::test]
async fn a_restart_with_the_same_version_ends_a_stream() {
    let server = slow_server("a", "v1").await;
    let gateway = TestGateway::start(&[&server]).await;
    let head = request_head("GET", "/resumable/x", "r1");
    let answer = ask_during_restart(&gateway, head, &server, "v1").await;
    assert!(answer.complete && answer.body.contains("d4"), "{answer:?}");
}

/// The restart becomes known while the chosen rest of a stream waits to be charged again.
#[tokio::test]
async fn a_rest_of_a_stream_is_sent_to_a_server_that_has_changed_since_it_was_chosen() {
    let first_event = |_: usize, head: &str| {
        let wait = Step::Wait(LIST_DELAY * 3);
        vec![Step::Send(stream_head(head, "a")), Step::Send(event(1)), wait, Step::Close]
    };
    let server = FakeServer::start("a", first_event).await;
    let other = breaking_server("b", "v1").await.with_start(1_000);
    let gateway = TestGateway::start(&[&server]).await;
    // A request that waits for an owner earns no retry, so one without a limit goes before.
    get(gateway.callers, "/resumable/x", "r1").await;
    gateway.control.set_charge_handling(ChargeHandling::Ignore);
    let restarting = async {
        wait_until(|| server.requests().len() == 2).await;
        gateway.control.add_server(other.report());
        wait_until(|| gateway.control.charges().len() == 2).await;
        let restarted = other.clone().with_software("v2").with_start(2_000);
        gateway.control.add_server(restarted.report());
    };
    let (answer, ()) = tokio::join!(get_limited(&gateway, "/resumable/x", "r2"), restarting);
    assert!(!answer.complete && answer.body.contains("d1"), "{answer:?}");
    assert_eq!(other.requests().len(), 0);
}

/// Starts a request and reports `server` without a version while it is answered.
async fn ask_during_incomplete_report(
    gateway: &TestGateway,
    head: String,
    server: &FakeServer,
) -> Answer {
    let callers = gateway.callers;
    let asking = tokio::spawn(async move { ask(callers, &format!("{head}\r\n")).await });
    tokio::time::sleep(LIST_DELAY).await;
    gateway.control.add_server(server.clone().with_software("").report());
    asking.await.expect("no panic")
}

// Guards against a resumed stream that is cut because a heartbeat of the same start has no version.
#[tokio::test]
async fn a_report_without_a_version_cuts_a_resumed_stream() {
    let breaking = breaking_server("b", "v1").await;
    let first = TestGateway::start(&[&breaking]).await;
    assert!(get(first.callers, "/resumable/x", "r1").await.body.contains("d1"));
    let server = slow_server("a", "v1").await;
    let second = second_gateway(&first, &[&server]).await;
    let head = request_head("GET", "/resumable/x", "r2") + "x-last: 1\r\nx-resumes: r1\r\n";
    let answer = ask_during_incomplete_report(&second, head, &server).await;
    assert!(answer.complete && answer.body.contains("d3"), "{answer:?}");
}

// Guards against the position of a search without result that stays: a whole answer would count as the
// rest of one, and a restart of its server with another version would cut it.
#[tokio::test]
async fn a_stream_that_was_silent_counts_as_the_rest_of_one() {
    let server = FakeServer::start("a", |_, head| {
        vec![
            Step::Send(stream_head(head, "a")),
            Step::Send(event(1)),
            Step::Wait(Duration::from_millis(2_200)),
            Step::Send(event(2)),
            Step::Send(LAST_CHUNK.to_owned()),
        ]
    })
    .await
    .with_start(1_000);
    let gateway = TestGateway::start(&[&server]).await;
    let callers = gateway.callers;
    let asking = tokio::spawn(async move { get(callers, "/resumable/x", "r1").await });
    // After the gap after which another server is looked for.
    tokio::time::sleep(Duration::from_millis(1_950)).await;
    let restarted = server.clone().with_software("v2").with_start(2_000);
    gateway.control.add_server(restarted.report());
    let answer = asking.await.expect("no panic");
    assert!(answer.complete && answer.body.contains("d2"), "{answer:?}");
}

#[tokio::test]
async fn a_stream_begins_at_a_server_whose_restart_is_not_known_yet() {
    let server = breaking_server("a", "v1").await.with_start(1_000);
    let other = breaking_server("b", "v1").await.with_start(1_000);
    server.state_start(2_000);
    other.state_start(1_000);
    let gateway = TestGateway::start(&[&server, &other]).await;
    for number in 0..6 {
        let answer = get(gateway.callers, "/resumable/x", &format!("r{number}")).await;
        assert!(answer.body.contains("d1"), "{answer:?}");
    }
    assert_eq!(server.requests().len(), 0);
}

#[tokio::test]
async fn a_rest_of_a_stream_is_sent_to_a_server_whose_restart_is_not_known_yet() {
    let server = breaking_server("a", "v1").await.with_start(1_000);
    let other = breaking_server("b", "v1").await.with_start(1_000);
    let first = TestGateway::start(&[&other]).await;
    assert!(get(first.callers, "/resumable/x", "r1").await.body.contains("d1"));
    server.state_start(2_000);
    other.state_start(1_000);
    let second = second_gateway(&first, &[&server, &other]).await;
    for number in 0..6 {
        let answer = resume(&second, &format!("s{number}"), "r1").await;
        assert!(answer.complete && answer.body.contains("d2"), "{answer:?}");
    }
    assert_eq!(server.requests().len(), 0);
    let third = second_gateway(&first, &[&server]).await;
    let answer = resume(&third, "t1", "r1").await;
    assert_eq!((answer.status, server.requests().len()), (503, 0), "{answer:?}");
}

async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, waiting).await.expect("the condition in time");
}
