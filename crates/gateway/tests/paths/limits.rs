//! Limits of tenants: who decides, and what callers and servers see of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::support::caller::{Answer, ask, request};
use crate::support::control::Charging;
use crate::support::server::{FakeServer, Step, good, whole};
use crate::support::{PATIENCE, TestGateway};

async fn get_limited(gateway: &TestGateway, path: &str, id: &str) -> Answer {
    let head = request("GET", path, id).replace("x-key: good", "x-key: limited");
    ask(gateway.callers, &format!("{head}\r\n")).await
}

#[tokio::test]
async fn a_request_beyond_its_limit_is_refused_at_once_and_told_when_to_come_back() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.set_charging(Charging::Refuses { pause_ms: 1_250 });
    let answer = get_limited(&gateway, "/once/x", "r1").await;
    assert_eq!((answer.status, answer.header("retry-after")), (429, Some("1.250")));
    assert!(server.requests().is_empty(), "what is refused doesn't run");
    assert!(gateway.control.given_back().is_empty(), "nothing was counted");
}

#[tokio::test]
async fn what_is_served_was_counted_by_the_owner_before() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get_limited(&gateway, "/once/x", "r1").await.status, 200);
    let charges = gateway.control.charges();
    assert_eq!(charges.len(), 1);
    assert_eq!((charges[0].account.as_str(), charges[0].units), ("tenant-2", 200.0));
    assert_eq!((charges[0].per_second, charges[0].burst), (1_000.0, 500.0));
    assert!(gateway.control.given_back().is_empty());
}

#[tokio::test]
async fn a_tenant_without_a_limit_is_counted_nowhere() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.set_charging(Charging::Refuses { pause_ms: 1_000 });
    let head = request("GET", "/once/x", "r1");
    assert_eq!(ask(gateway.callers, &format!("{head}\r\n")).await.status, 200);
    assert!(gateway.control.charges().is_empty());
}

/// Many routers have started at once and the owner answers late. The router knows nothing of the
/// tenant yet, so it waits rather than refuse what lies within the limit.
#[tokio::test]
async fn a_router_that_has_just_started_waits_for_a_slow_owner() {
    let server = good("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.set_charging(Charging::AdmitsLate);
    let begun = Instant::now();
    assert_eq!(get_limited(&gateway, "/once/x", "r1").await.status, 200);
    assert!(begun.elapsed() >= Duration::from_millis(200), "the owner decided");
}

/// The share of the only router is 0.6 of the limit: 300 units at once.
#[tokio::test]
async fn without_an_owner_the_router_keeps_to_its_share_and_waits_for_nobody() {
    let server = good("a").await;
    for charging in [Charging::IsSilent, Charging::OwnsNothing] {
        let gateway = TestGateway::start(&[&server]).await;
        gateway.control.set_charging(charging);
        let begun = Instant::now();
        let mut statuses = Vec::new();
        for number in 0..8 {
            statuses.push(get_limited(&gateway, "/once/x", &format!("r{number}")).await.status);
        }
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert!(begun.elapsed() < Duration::from_secs(1), "{charging:?} {:?}", begun.elapsed());
        assert!(statuses.iter().all(|status| [200, 429].contains(status)), "{statuses:?}");
        // 600 units a second and 300 at first; a request of 200 may be admitted by chance.
        let most = 2 + (begun.elapsed().as_secs_f64() * 3.0).ceil() as usize;
        assert!((1..=most).contains(&served), "{charging:?} {statuses:?}");
    }
}

#[tokio::test]
async fn what_no_server_has_run_is_given_back() {
    let full = FakeServer::start("a", |_, head| {
        vec![Step::Send(whole(head, "503 Service Unavailable\r\nx-not-run: 1", "full"))]
    })
    .await;
    let gateway = TestGateway::start(&[&full]).await;
    let answer = get_limited(&gateway, "/once/x", "r1").await;
    assert_eq!(answer.status, 503);
    let begun = Instant::now();
    while gateway.control.given_back() != [200.0] {
        assert!(begun.elapsed() < PATIENCE, "{:?}", gateway.control.given_back());
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_second_attempt_that_may_run_is_counted_again_and_never_refused() {
    // Whichever server is asked first closes the connection; the other one answers.
    let is_asked = Arc::new(AtomicBool::new(false));
    let script = |is_asked: Arc<AtomicBool>| {
        move |_: usize, head: &str| match is_asked.swap(true, Ordering::Relaxed) {
            false => vec![Step::Close],
            true => vec![Step::Send(whole(head, "200 OK", "fine"))],
        }
    };
    let one = FakeServer::start("a", script(Arc::clone(&is_asked))).await;
    let other = FakeServer::start("b", script(is_asked)).await;
    let gateway = TestGateway::start(&[&one, &other]).await;
    assert_eq!(get_limited(&gateway, "/safe/x", "r1").await.status, 200);
    assert_eq!(one.requests().len() + other.requests().len(), 2);
    let certain: Vec<bool> =
        gateway.control.charges().iter().map(|charge| charge.is_certain).collect();
    assert_eq!(certain, [false, true]);
}
