//! Prompts with a part that crashes servers are sent to no other server; prompts beside them are.

use std::time::{Duration, Instant};

use juniper_protocol::message::{PartCrash, PartUpdate, RouterUpdate};
use juniper_registry::{InstanceName, StartTime};
use juniper_types::{FingerprintKey, RequestFingerprint};
use tokio::time::sleep;

use crate::support::caller::{Answer, ask, request_head};
use crate::support::control::ChargeHandling;
use crate::support::server::{
    FakeServer, LAST_CHUNK, Step, event, header, healthy, open_ended_head, stream_head,
};
use crate::support::{TEST_TIMEOUT, TestGateway};

/// Segment that crashes servers.
const BAD: u64 = 7;

/// Time after which a quarantined part may be tried.
const TRIAL_DELAY: Duration = Duration::from_millis(400);

fn part(id: u64) -> RequestFingerprint {
    FingerprintKey::new([7; 32]).part_fingerprint(id)
}

fn has_bad_part(head: &str) -> bool {
    let segments: Vec<&str> = header(head, "x-segments").unwrap_or("").split(',').collect();
    segments.split_last().is_some_and(|(_own, shared)| shared.contains(&"7"))
}

/// Starts servers that crash in the middle of the answer to a prompt with the bad part.
async fn start_servers(count: usize, head_of: fn(&str) -> String) -> Vec<FakeServer> {
    let mut servers = Vec::new();
    for number in 0..count {
        let name = format!("s{number}");
        let server = FakeServer::start(&name, move |_, head| {
            let first = Step::Send(head_of(head));
            match has_bad_part(head) {
                true => vec![first, Step::Wait(Duration::from_millis(30)), Step::Crash],
                false => vec![Step::Send(stream_head(head, "s") + &event(1) + LAST_CHUNK)],
            }
        });
        servers.push(server.await);
    }
    servers
}

fn chunked(head: &str) -> String {
    stream_head(head, "s") + &event(1)
}

fn open_ended(head: &str) -> String {
    format!("{}id: 1\ndata: d1\n\n", open_ended_head(head))
}

/// Sends a prompt of segments with these ids and with a body of its own.
async fn send(gateway: &TestGateway, id: &str, segments: &str) -> Answer {
    let head = request_head("POST", "/stream/x", id);
    let request =
        format!("{head}x-segments: {segments}\r\ncontent-length: {}\r\n\r\n{id}", id.len());
    ask(gateway.callers, &request).await
}

fn bad_prompts(servers: &[FakeServer]) -> usize {
    servers.iter().flat_map(FakeServer::requests).filter(|head| has_bad_part(head)).count()
}

/// Crash of a server under these parts, as another router reports it.
fn crash_update(server: &str, parts: &[u64]) -> RouterUpdate {
    let crash = PartCrash {
        instance: InstanceName::new(server),
        started: StartTime::UNKNOWN,
        age_ms: 0,
        parts: parts.iter().map(|id| part(*id)).collect(),
        trial: None,
    };
    let parts = Some(PartUpdate { crashes: vec![crash], completions: Vec::new() });
    RouterUpdate { parts, ..RouterUpdate::default() }
}

/// Reports three crashes under these parts, one after the other.
async fn report_three_crashes(gateway: &TestGateway, parts: &[u64]) {
    for server in ["e1", "e2", "e3"] {
        gateway.control.send_peer_update(1, "south", crash_update(server, parts));
        sleep(Duration::from_millis(200)).await;
    }
}

async fn check_quarantine(head_of: fn(&str) -> String) {
    let servers = start_servers(9, head_of).await;
    let gateway = TestGateway::start(&servers.iter().collect::<Vec<_>>()).await;
    for number in 0..10 {
        send(&gateway, &format!("bad{number}"), &format!("1,7,{}", 100 + number)).await;
        sleep(Duration::from_millis(160)).await;
        let (id, segments) = (format!("sound{number}"), format!("1,2,{}", 200 + number));
        assert!(send(&gateway, &id, &segments).await.complete, "{number}");
    }
    let crashed = bad_prompts(&servers);
    assert!((3..=5).contains(&crashed), "{crashed}: three, one in flight and a trial");
    let started_at = Instant::now();
    let answer = send(&gateway, "late", "1,7,300").await;
    assert_eq!((answer.status, answer.header("retry-after")), (502, None));
    assert!(answer.body.contains("quarantined"), "{}", answer.body);
    assert!(started_at.elapsed() < Duration::from_millis(200), "at once");
    assert_eq!(send(&gateway, "own", "1,7").await.status, 200, "the last part isn't shared");
    let recorded = || gateway.control.quarantined().iter().any(|call| call.request == part(BAD));
    let asked_at = Instant::now();
    while !recorded() {
        assert!(asked_at.elapsed() < TEST_TIMEOUT, "the quarantine is recorded");
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(gateway.control.quarantined().len(), 1, "of nothing else");
}

#[tokio::test]
async fn prompts_with_the_same_part_crash_server_after_server() {
    check_quarantine(chunked).await;
}

#[tokio::test]
async fn prompts_with_the_same_part_crash_servers_whose_answers_end_with_their_connection() {
    check_quarantine(open_ended).await;
}

#[tokio::test]
async fn a_sound_part_stays_in_quarantine_after_its_trial() {
    let server = healthy_stream("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    report_three_crashes(&gateway, &[4]).await;
    assert_eq!(send(&gateway, "r1", "1,4,9").await.status, 502, "not yet tried");
    sleep(TRIAL_DELAY).await;
    for id in ["r2", "r3"] {
        assert_eq!(send(&gateway, id, "1,4,9").await.status, 200, "{id}");
    }
    assert_eq!(gateway.control.charges().len(), 1, "one trial");
    let updates = gateway.control.published_updates(0).into_iter();
    let completions: Vec<_> =
        updates.filter_map(|update| update.parts).flat_map(|parts| parts.completions).collect();
    assert_eq!(completions[0].part, part(4));
}

#[tokio::test]
async fn routers_try_a_quarantined_part_at_the_same_time() {
    let server = healthy_stream("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.set_charge_handling(ChargeHandling::Refuse { pause_ms: 500 });
    report_three_crashes(&gateway, &[4]).await;
    sleep(TRIAL_DELAY).await;
    for id in ["r1", "r2"] {
        assert_eq!(send(&gateway, id, "1,4,9").await.status, 502, "another router tries it");
    }
    gateway.control.set_charge_handling(ChargeHandling::Ignore);
    assert_eq!(send(&gateway, "r3", "1,4,9").await.status, 502, "no replica answers");
    assert!(server.requests().is_empty());
    assert_eq!(send(&gateway, "r4", "1,5,9").await.status, 200, "another part");
}

#[tokio::test]
async fn a_trial_with_two_quarantined_parts_shows_nothing() {
    let server = healthy_stream("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    report_three_crashes(&gateway, &[4, 5]).await;
    sleep(TRIAL_DELAY).await;
    assert_eq!(send(&gateway, "r1", "4,5,9").await.status, 502);
    assert!(gateway.control.charges().is_empty());
}

async fn healthy_stream(name: &str) -> FakeServer {
    let stream = |head: &str| stream_head(head, "s") + &event(1) + LAST_CHUNK;
    FakeServer::start(name, move |_, head| vec![Step::Send(stream(head))]).await
}

#[tokio::test]
async fn requests_without_prompts_are_affected_by_a_quarantined_part() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    report_three_crashes(&gateway, &[4]).await;
    let request = format!("{}\r\n", request_head("GET", "/safe/x", "r1"));
    assert_eq!(ask(gateway.callers, &request).await.status, 200);
}

/// Guards against a prompt that is sent although its part was quarantined while it waited for the
/// server to state its incarnation.
#[tokio::test]
async fn a_prompt_that_was_quarantined_while_it_waited_crashes_a_server() {
    let server = healthy_stream("a").await.with_start(1_000);
    server.state_start(1_000);
    server.delay_statement(200);
    let gateway = TestGateway::start(&[&server]).await;
    for crashed in ["e1", "e2"] {
        gateway.control.send_peer_update(1, "south", crash_update(crashed, &[4]));
        sleep(Duration::from_millis(200)).await;
    }
    let third = async {
        sleep(Duration::from_millis(80)).await;
        gateway.control.send_peer_update(1, "south", crash_update("e3", &[4]));
    };
    let head = request_head("POST", "/resumable/x", "r1");
    let request = format!("{head}x-segments: 1,4,9\r\ncontent-length: 0\r\n\r\n");
    let (answer, ()) = tokio::join!(ask(gateway.callers, &request), third);
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert!(server.requests().is_empty());
}
