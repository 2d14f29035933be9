//! Four of twelve servers turned requests away and asked each router to send nothing for 3 s. No
//! router read that: a server that was full cost a little more for 120 ms, and then it was chosen
//! again for the parts of prompts that it kept. So each router went on sending to it, spent its
//! second asks there, and refused callers although eight servers had room.
//!
//! ```text
//! 6.05  a server turns a router away and asks for 3 s of rest
//! 6.58  event=attempt .. reason=fetch .. sent=0          to it, turned away
//! 7.05  event=attempt .. reason=holder .. sent=0         to it, turned away
//! 7.53  event=attempt .. reason=holder .. sent=0         to it, turned away
//! 6 to 11.4: 185 sendings turned away by the four, 141 of them first sendings
//! 8 to 14: 65 of 231 requests refused; budget_spent_total 0, then 166 over seven routers
//! ```

use std::time::{Duration, Instant};

use juniper_protocol::message::{RouterNews, ServerLimitNews, ServerNoticeNews};
use juniper_registry::StartTime;
use tokio::time::sleep;

use crate::support::caller::{Answer, get};
use crate::support::control::Charging;
use crate::support::server::{FakeServer, Step, good, whole};
use crate::support::{PATIENCE, TestGateway};

/// Pause between two requests of a caller.
const PACE: Duration = Duration::from_millis(60);

/// An answer that turns a request away and asks for a pause, as it is written.
fn turned_away(head: &str, pause: &str) -> Step {
    Step::Send(whole(head, &format!("503 Busy\r\nx-not-run: 1\r\nx-pause: {pause}"), "full"))
}

fn fine(head: &str) -> Step {
    Step::Send(whole(head, "200 OK", "fine"))
}

/// A server that asks for a pause in its first answer, and then serves.
async fn pausing_once(name: &str, pause: &'static str) -> FakeServer {
    FakeServer::start(name, move |number, head| match number {
        0 => vec![turned_away(head, pause)],
        _ => vec![fine(head)],
    })
    .await
}

async fn ask(gateway: &TestGateway) -> Answer {
    get(gateway.callers, "/safe/x", "r").await
}

/// Calls until the server has got its first request.
async fn ask_until_heard(gateway: &TestGateway, server: &FakeServer) -> Instant {
    let begun = Instant::now();
    while server.requests().is_empty() {
        assert_eq!(ask(gateway).await.status, 200, "the other server takes it");
        assert!(begun.elapsed() < PATIENCE);
    }
    Instant::now()
}

fn pause_of(answer: &Answer) -> Duration {
    let seconds = answer.header("retry-after").and_then(|it| it.parse().ok()).expect("a time");
    Duration::from_secs_f64(seconds)
}

#[tokio::test]
async fn a_server_that_asks_for_a_pause_gets_nothing_until_it_is_over() {
    let (pausing, other) = (pausing_once("a", "2").await, good("b").await);
    let gateway = TestGateway::start(&[&pausing, &other]).await;
    let heard = ask_until_heard(&gateway, &pausing).await;
    while heard.elapsed() < Duration::from_millis(1_950) {
        assert_eq!(ask(&gateway).await.status, 200);
        sleep(PACE).await;
    }
    assert_eq!(pausing.requests().len(), 1, "nothing but what was turned away");
    while pausing.requests().len() < 3 {
        assert_eq!(ask(&gateway).await.status, 200);
        assert!(heard.elapsed() < PATIENCE, "it is used again");
        sleep(PACE).await;
    }
}

#[tokio::test]
async fn while_every_server_rests_callers_are_told_at_once_when_the_first_is_back() {
    let (long, short) = (pausing_once("a", "9").await, pausing_once("b", "2").await);
    let gateway = TestGateway::start(&[&long, &short]).await;
    assert_eq!(ask(&gateway).await.status, 503);
    let begun = Instant::now();
    let answer = ask(&gateway).await;
    assert!(begun.elapsed() < Duration::from_millis(500), "at once");
    assert_eq!((answer.status, long.requests().len(), short.requests().len()), (503, 1, 1));
    let pause = pause_of(&answer);
    let range = Duration::from_millis(1_400)..Duration::from_millis(3_500);
    assert!(range.contains(&pause), "the earliest end, spread a little: {pause:?}");
}

#[tokio::test]
async fn what_was_chosen_before_a_pause_is_not_sent_in_it() {
    let server = pausing_once("a", "3").await;
    let gateway = TestGateway::start(&[&server]).await;
    // The owner of the server's limit answers after 200 ms, and one question after the other.
    let limit = ServerLimitNews {
        instance: server.report().name,
        started: StartTime::UNKNOWN,
        sequence: 9,
        per_second: 50.0,
        is_over: false,
    };
    let news = RouterNews { server_limits: Some(vec![limit]), ..RouterNews::default() };
    gateway.control.relay(2, "south", news);
    gateway.control.set_charging(Charging::AdmitsLate);
    sleep(Duration::from_millis(100)).await;
    let (first, second) = tokio::join!(ask(&gateway), async {
        sleep(Duration::from_millis(100)).await;
        ask(&gateway).await
    });
    assert_eq!((first.status, second.status), (503, 503));
    assert_eq!(server.requests().len(), 1, "the second is counted, but not sent");
}

/// Answers to what was sent before, which come while the server rests.
#[tokio::test]
async fn neither_a_success_nor_a_shorter_pause_nor_a_bad_one_ends_a_pause() {
    let server = FakeServer::start("a", |number, head| match number {
        0 => vec![Step::Wait(Duration::from_millis(200)), turned_away(head, "3")],
        1 => vec![Step::Wait(Duration::from_millis(300)), fine(head)],
        2 => vec![Step::Wait(Duration::from_millis(300)), turned_away(head, "0.2")],
        3 => vec![Step::Wait(Duration::from_millis(300)), turned_away(head, "-1")],
        4 => vec![Step::Wait(Duration::from_millis(300)), turned_away(head, "soon")],
        _ => vec![fine(head)],
    })
    .await;
    let gateway = TestGateway::start(&[&server]).await;
    let answers =
        tokio::join!(ask(&gateway), ask(&gateway), ask(&gateway), ask(&gateway), ask(&gateway));
    let (a, b, c, d, e) = answers;
    let served = [a, b, c, d, e].iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, 1);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(ask(&gateway).await.status, 503);
    assert_eq!(server.requests().len(), 5);
}

#[tokio::test]
async fn a_pause_that_can_not_be_read_stops_nothing() {
    let server = pausing_once("a", "soon").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(ask(&gateway).await.status, 503);
    assert_eq!(ask(&gateway).await.status, 200);
}

/// What another router tells that was asked for a pause.
fn told_of_pause(server: &FakeServer, pause_ms: u64) -> RouterNews {
    let (instance, started) = (server.report().name, StartTime::UNKNOWN);
    let notice = ServerNoticeNews { instance, started, pause_ms, is_leaving: false };
    RouterNews { notices: Some(vec![notice]), ..RouterNews::default() }
}

#[tokio::test]
async fn the_other_routers_are_told_of_a_pause_once() {
    let (pausing, other) = (pausing_once("a", "2").await, good("b").await);
    let gateway = TestGateway::start(&[&pausing, &other]).await;
    let heard = ask_until_heard(&gateway, &pausing).await;
    while gateway.control.told_notices().is_empty() {
        assert!(heard.elapsed() < PATIENCE, "told");
        sleep(Duration::from_millis(20)).await;
    }
    let told = gateway.control.told_notices();
    assert_eq!((told.len(), told[0].pause_ms, told[0].is_leaving), (1, 2_000, false));
    assert_eq!(told[0].instance, pausing.report().name);
}

/// Two that are turned away are believed; one alone may have asked for too much itself.
#[tokio::test]
async fn a_server_that_turns_two_other_routers_away_is_spared_while_others_serve() {
    let (spared, other) = (good("a").await, good("b").await);
    let gateway = TestGateway::start(&[&spared, &other]).await;
    gateway.control.relay(2, "north", told_of_pause(&spared, 60_000));
    gateway.control.relay(2, "north", told_of_pause(&spared, 60_000));
    sleep(Duration::from_millis(100)).await;
    let begun = Instant::now();
    while spared.requests().is_empty() {
        assert_eq!(ask(&gateway).await.status, 200);
        assert!(begun.elapsed() < PATIENCE, "one router alone doesn't count");
    }
    gateway.control.relay(3, "north", told_of_pause(&spared, 60_000));
    sleep(Duration::from_millis(100)).await;
    let got = spared.requests().len();
    for _ in 0..12 {
        assert_eq!(ask(&gateway).await.status, 200);
    }
    assert_eq!(spared.requests().len(), got);
    for from in [2, 3] {
        gateway.control.relay(from, "north", told_of_pause(&other, 60_000));
    }
    sleep(Duration::from_millis(100)).await;
    assert_eq!(ask(&gateway).await.status, 200, "no server has asked this router for a pause");
}
