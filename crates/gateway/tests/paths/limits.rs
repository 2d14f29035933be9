//! Tenants' limits: who decides on charges, and the effect on callers and servers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::support::caller::{Answer, ask, request_head};
use crate::support::control::ChargeHandling;
use crate::support::server::{FakeServer, Step, complete_answer, healthy};
use crate::support::{TEST_TIMEOUT, TestGateway};

pub(crate) async fn get_limited(gateway: &TestGateway, path: &str, id: &str) -> Answer {
    let head = request_head("GET", path, id).replace("x-key: good", "x-key: limited");
    ask(gateway.callers, &format!("{head}\r\n")).await
}

#[tokio::test]
async fn a_request_over_its_limit_is_refused_at_once_with_retry_after() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.set_charge_handling(ChargeHandling::Refuse { pause_ms: 1_250 });
    let answer = get_limited(&gateway, "/once/x", "r1").await;
    assert_eq!((answer.status, answer.header("retry-after")), (429, Some("1.250")));
    assert!(server.requests().is_empty(), "a refused request is not sent");
    assert!(gateway.control.refunds().is_empty(), "nothing was charged");
}

#[tokio::test]
async fn a_request_is_charged_at_the_owner_before_it_is_served() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    assert_eq!(get_limited(&gateway, "/once/x", "r1").await.status, 200);
    let charges = gateway.control.charges();
    assert_eq!(charges.len(), 1);
    assert_eq!((charges[0].account.as_str(), charges[0].units), ("tenant-2", 200.0));
    assert_eq!((charges[0].per_second, charges[0].burst), (1_000.0, 500.0));
    assert!(gateway.control.refunds().is_empty());
}

#[tokio::test]
async fn a_tenant_without_a_limit_is_not_charged() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.set_charge_handling(ChargeHandling::Refuse { pause_ms: 1_000 });
    let head = request_head("GET", "/once/x", "r1");
    assert_eq!(ask(gateway.callers, &format!("{head}\r\n")).await.status, 200);
    assert!(gateway.control.charges().is_empty());
}

/// The owner answers late, as when many routers start at once. Without any knowledge of the
/// tenant's usage the router waits, rather than refuse a request within the limit.
#[tokio::test]
async fn a_router_that_has_just_started_waits_for_a_slow_owner() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.set_charge_handling(ChargeHandling::AdmitLate);
    let started_at = Instant::now();
    assert_eq!(get_limited(&gateway, "/once/x", "r1").await.status, 200);
    assert!(started_at.elapsed() >= Duration::from_millis(200), "the owner decided");
}

/// The share of the only router is 0.6 of the limit: a burst of 300 units.
#[tokio::test]
async fn without_an_owner_the_router_keeps_to_its_share_and_does_not_wait() {
    let server = healthy("a").await;
    for charging in [ChargeHandling::Ignore, ChargeHandling::NotOwner] {
        let gateway = TestGateway::start(&[&server]).await;
        gateway.control.set_charge_handling(charging);
        let started_at = Instant::now();
        let mut statuses = Vec::new();
        for number in 0..8 {
            statuses.push(get_limited(&gateway, "/once/x", &format!("r{number}")).await.status);
        }
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert!(
            started_at.elapsed() < Duration::from_secs(1),
            "{charging:?} {:?}",
            started_at.elapsed()
        );
        assert!(statuses.iter().all(|status| [200, 429].contains(status)), "{statuses:?}");
        // 600 units per second and 300 at first; one request of 200 units may be admitted by
        // chance.
        let max_served = 2 + (started_at.elapsed().as_secs_f64() * 3.0).ceil() as usize;
        assert!((1..=max_served).contains(&served), "{charging:?} {statuses:?}");
    }
}

#[tokio::test]
async fn the_charge_of_a_request_that_has_not_run_is_refunded() {
    let full = FakeServer::start("a", |_, head| {
        vec![Step::Send(complete_answer(head, "503 Service Unavailable\r\nx-not-run: 1", "full"))]
    })
    .await;
    let gateway = TestGateway::start(&[&full]).await;
    let answer = get_limited(&gateway, "/once/x", "r1").await;
    assert_eq!(answer.status, 503);
    let started_at = Instant::now();
    while gateway.control.refunds() != [200.0] {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{:?}", gateway.control.refunds());
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_retry_that_may_run_twice_is_charged_again_and_never_refused() {
    // The first server asked closes the connection; the other one answers.
    let was_asked = Arc::new(AtomicBool::new(false));
    let script = |was_asked: Arc<AtomicBool>| {
        move |_: usize, head: &str| match was_asked.swap(true, Ordering::Relaxed) {
            false => vec![Step::Close],
            true => vec![Step::Send(complete_answer(head, "200 OK", "fine"))],
        }
    };
    let one = FakeServer::start("a", script(Arc::clone(&was_asked))).await;
    let other = FakeServer::start("b", script(was_asked)).await;
    let gateway = TestGateway::start(&[&one, &other]).await;
    assert_eq!(get_limited(&gateway, "/safe/x", "r1").await.status, 200);
    assert_eq!(one.requests().len() + other.requests().len(), 2);
    let certain: Vec<bool> =
        gateway.control.charges().iter().map(|charge| charge.is_certain).collect();
    assert_eq!(certain, [false, true]);
}
