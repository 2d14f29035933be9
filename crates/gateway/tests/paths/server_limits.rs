//! Servers that state what they take from all routers together: who counts, and where requests go.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use juniper_protocol::message::{RouterUpdate, ServerLimitUpdate};
use juniper_registry::{InstanceName, StartTime};

use crate::support::caller::{Answer, get};
use crate::support::control::Charging;
use crate::support::server::{FakeServer, Step, good, whole};
use crate::support::{PATIENCE, TestGateway};

/// A server whose answers state this, for as long as they are to.
async fn stating(name: &str, stated: &'static str) -> (FakeServer, Arc<AtomicBool>) {
    let states = Arc::new(AtomicBool::new(true));
    let still = Arc::clone(&states);
    let server = FakeServer::start(name, move |_, head| {
        let status = match still.load(Ordering::Relaxed) {
            true => format!("200 OK\r\nx-limit: {stated}"),
            false => "200 OK".to_owned(),
        };
        vec![Step::Send(whole(head, &status, "fine"))]
    })
    .await;
    (server, states)
}

async fn ask(gateway: &TestGateway, id: &str) -> Answer {
    get(gateway.callers, "/once/x", id).await
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn limit_of(server: &FakeServer, sequence: u64, is_withdrawn: bool) -> RouterUpdate {
    let (instance, started) = (server.report().name, StartTime::UNKNOWN);
    let limit = ServerLimitUpdate { instance, started, sequence, per_second: 2.5, is_withdrawn };
    RouterUpdate { server_limits: Some(vec![limit]), ..RouterUpdate::default() }
}

#[tokio::test]
async fn a_limit_that_is_heard_is_told_and_what_is_sent_after_is_counted() {
    let (server, _) = stating("a", "1.6").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(ask(&gateway, "r1").await.status, 200);
    wait_for("told", || !gateway.control.told_limits().is_empty()).await;
    let told = gateway.control.told_limits();
    assert_eq!((told[0].instance.clone(), told[0].per_second), (InstanceName::new("a"), 1.6));
    assert!(gateway.control.charges().is_empty(), "nobody knew of it before");
    assert_eq!(ask(&gateway, "r2").await.status, 200);
    let charges = gateway.control.charges();
    assert_eq!(charges.len(), 1);
    assert_eq!((charges[0].per_second, charges[0].burst, charges[0].units), (1.6, 1.0, 1.0));
    assert_eq!(charges[0].version, told[0].sequence);
    assert_eq!(charges[0].reserve, Some(0.5), "a request of rank 1 leaves half to those of rank 0");
}

#[tokio::test]
async fn what_another_router_tells_is_counted_from_the_first_request_on() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.relay(2, "south", limit_of(&server, 9, false));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(ask(&gateway, "r1").await.status, 200);
    let charges = gateway.control.charges();
    assert_eq!((charges.len(), charges[0].per_second, charges[0].version), (1, 2.5, 9));
}

#[tokio::test]
async fn a_server_that_got_all_it_takes_is_passed_over_without_a_sending() {
    let (limited, other) = (good("a").await, good("b").await);
    let gateway = TestGateway::start(&[&limited, &other]).await;
    gateway.control.relay(2, "south", limit_of(&limited, 9, false));
    gateway.control.set_charging(Charging::Refuses { pause_ms: 60_000 });
    tokio::time::sleep(Duration::from_millis(100)).await;
    for number in 0..12 {
        assert_eq!(ask(&gateway, &format!("r{number}")).await.status, 200);
    }
    assert_eq!((limited.requests().len(), other.requests().len()), (0, 12));
    assert!(gateway.control.charges().len() <= 1, "it isn't asked about before it has room");
}

#[tokio::test]
async fn if_all_servers_got_what_they_take_the_caller_is_told_when_there_is_room() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.relay(2, "south", limit_of(&server, 9, false));
    gateway.control.set_charging(Charging::Refuses { pause_ms: 2_000 });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let begun = Instant::now();
    let answer = ask(&gateway, "r1").await;
    assert!(begun.elapsed() < Duration::from_secs(1), "at once");
    let pause: f64 = answer.header("retry-after").and_then(|it| it.parse().ok()).expect("a time");
    assert_eq!(answer.status, 503);
    assert!((1.5..=4.0).contains(&pause), "{pause}");
    assert!(server.requests().is_empty());
}

/// A router that reaches no replica is the only one here: it keeps to 0.6 of the limit by chance.
#[tokio::test]
async fn without_an_owner_the_router_keeps_to_its_share_of_what_the_server_takes() {
    let (server, _) = stating("a", "2.5").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.relay(2, "south", limit_of(&server, 9, false));
    gateway.control.set_charging(Charging::IsSilent);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(4) {
        ask(&gateway, "r").await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let got = server.requests().len();
    assert!((1..=16).contains(&got), "{got} of 10 that it takes, and of 20 that are allowed");
}

#[tokio::test]
async fn what_was_counted_and_not_sent_is_given_back() {
    let server = FakeServer::start("a", |_, _| vec![Step::End]).await;
    let gateway = TestGateway::start(&[&server]).await;
    ask(&gateway, "r1").await;
    gateway.control.relay(2, "south", limit_of(&server, 9, false));
    tokio::time::sleep(Duration::from_millis(100)).await;
    ask(&gateway, "r2").await;
    wait_for("given back", || gateway.control.given_back().contains(&1.0)).await;
}

#[tokio::test]
async fn what_can_not_be_read_neither_stops_traffic_nor_ends_a_limit() {
    let (server, _) = stating("a", "plenty").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(ask(&gateway, "r1").await.status, 200);
    assert_eq!(ask(&gateway, "r2").await.status, 200);
    assert!(gateway.control.charges().is_empty() && gateway.control.told_limits().is_empty());
    gateway.control.relay(2, "south", limit_of(&server, 9, false));
    tokio::time::sleep(Duration::from_millis(100)).await;
    for number in 3..6 {
        assert_eq!(ask(&gateway, &format!("r{number}")).await.status, 200);
    }
    assert_eq!(gateway.control.charges().len(), 3, "the limit stands");
}

#[tokio::test]
async fn an_answer_without_it_ends_the_limit_step_by_step() {
    let (server, states) = stating("a", "1.6").await;
    let gateway = TestGateway::start(&[&server]).await;
    ask(&gateway, "r1").await;
    states.store(false, Ordering::Relaxed);
    let begun = Instant::now();
    let mut rates = Vec::new();
    while begun.elapsed() < Duration::from_millis(3_600) {
        ask(&gateway, "r").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        rates.extend(gateway.control.charges().last().map(|charge| charge.per_second));
    }
    assert!(gateway.control.told_limits().iter().any(|told| told.is_withdrawn), "the others know");
    rates.dedup();
    assert_eq!(rates, [1.6, 3.2, 6.4, 12.8, 25.6, 51.2]);
    let charged = gateway.control.charges().len();
    ask(&gateway, "r9").await;
    assert_eq!(gateway.control.charges().len(), charged, "there is no limit any more");
}
