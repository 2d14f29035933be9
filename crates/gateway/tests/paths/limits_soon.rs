//! Tenants' limits while a service has tight objectives: refusals within 20 ms.

use std::time::Duration;

use juniper_catalog::{LimitUnit, TenantLimit};
use tokio::time::{Instant, sleep};

use crate::limits::get_limited;
use crate::support::control::ChargeHandling;
use crate::support::server::healthy;
use crate::support::{LIMIT, TEST_TIMEOUT, TestGateway, tight_catalog};

/// Seconds in `Retry-After`.
async fn refused_for(gateway: &TestGateway, id: &str) -> f64 {
    let answer = get_limited(gateway, "/once/x", id).await;
    assert_eq!(answer.status, 429);
    answer.header("retry-after").and_then(|text| text.parse().ok()).expect("seconds")
}

/// Guards against an owner that is asked for each request of a tenant that floods it. An empty
/// bucket fills in 500 ms, so a refusal is repeated for 250 ms.
#[tokio::test]
async fn a_refusal_of_the_owner_is_repeated_without_asking_and_with_less_time() {
    let server = healthy("a").await;
    let gateway = TestGateway::start_tight(&[&server]).await;
    gateway.control.set_charge_handling(ChargeHandling::Refuse { pause_ms: 1_250 });
    let asked_at = Instant::now();
    assert_eq!(refused_for(&gateway, "r0").await, 1.25);
    sleep(Duration::from_millis(100)).await;
    let repeated = refused_for(&gateway, "r1").await;
    if asked_at.elapsed() < Duration::from_millis(250) {
        assert!(repeated <= 1.15, "{repeated}");
        assert_eq!(gateway.control.charges().len(), 1, "the owner isn't asked again");
    }
    sleep(Duration::from_millis(300)).await;
    let asked = gateway.control.charges().len();
    refused_for(&gateway, "r2").await;
    assert_eq!(gateway.control.charges().len(), asked + 1, "the bucket may have recovered");
    assert!(server.requests().is_empty());
}

/// Guards against rules for tight objectives in other deployments.
#[tokio::test]
async fn without_tight_objectives_the_owner_is_asked_each_time() {
    let server = healthy("a").await;
    let gateway = TestGateway::start(&[&server]).await;
    gateway.control.set_charge_handling(ChargeHandling::Refuse { pause_ms: 1_250 });
    for number in 0..3 {
        assert_eq!(refused_for(&gateway, &format!("r{number}")).await, 1.25);
    }
    assert_eq!(gateway.control.charges().len(), 3);
}

/// Guards against the refusals that took 300 ms while the owner was frozen. The share of the only
/// router is 0.6 of the limit: a burst of 15 requests of 20 units, and 30 requests per second. What a
/// bucket holds of a further request admits it at random. Requests without a route, which need no owner,
/// show how long the machine takes for any answer.
#[tokio::test]
async fn the_median_refusal_takes_less_than_20_ms_while_the_owner_is_frozen() {
    let server = healthy("a").await;
    let mut catalog = tight_catalog();
    catalog.tenants[1].limit = Some(TenantLimit { unit: LimitUnit::Tokens { plain: 20 }, ..LIMIT });
    let gateway = TestGateway::start_with_catalog(catalog, &[&server], |_| ()).await.ready().await;
    assert_eq!(get_limited(&gateway, "/once/x", "first").await.status, 200);
    gateway.control.set_charge_handling(ChargeHandling::Ignore);
    let (mut served, mut delays, mut other_delays) = (0, Vec::new(), Vec::new());
    let started_at = Instant::now();
    for number in 0..200 {
        let asked_at = Instant::now();
        match get_limited(&gateway, "/once/x", &format!("r{number}")).await.status {
            200 => served += 1,
            429 => delays.push(asked_at.elapsed()),
            status => panic!("{status}"),
        }
        let asked_at = Instant::now();
        assert_eq!(get_limited(&gateway, "/nowhere/x", &format!("n{number}")).await.status, 404);
        other_delays.push(asked_at.elapsed());
        sleep(Duration::from_millis(10)).await;
    }
    delays.sort_unstable();
    other_delays.sort_unstable();
    let (median, other) = (delays[delays.len() / 2], other_delays[other_delays.len() / 2]);
    println!("{} refusals, median {median:?}, without an owner {other:?}", delays.len());
    assert!(median < Duration::from_millis(20) + other, "{delays:?}, without an owner {other:?}");
    let refilled = started_at.elapsed().as_secs_f64() * 30.0;
    let max_served = 15.0 + refilled + 4.5 * refilled.sqrt();
    assert!(f64::from(served) <= max_served, "{served} served, {max_served:.0} allowed");
    // Each timeout of 15 ms is followed by a backoff of 50 ms or more.
    let asked = gateway.control.charges().len();
    assert!(asked <= 2 + started_at.elapsed().as_millis() as usize / 50, "{asked}");
}

/// Guards against charges for requests that this router has refused because the owner answered
/// late, and against an owner that is no longer asked once it answers again.
#[tokio::test]
async fn a_late_grant_of_a_refused_request_is_refunded() {
    let server = healthy("a").await;
    let gateway = TestGateway::start_tight(&[&server]).await;
    assert_eq!(get_limited(&gateway, "/once/x", "first").await.status, 200);
    gateway.control.set_charge_handling(ChargeHandling::AdmitLate);
    let started_at = Instant::now();
    let mut refused = 0;
    while gateway.control.refunds().is_empty() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{refused} refused, none refunded");
        let status = get_limited(&gateway, "/once/x", "r").await.status;
        refused += usize::from(status == 429);
        sleep(Duration::from_millis(5)).await;
    }
    assert!(refused > 0);
    gateway.control.set_charge_handling(ChargeHandling::Admit);
    sleep(Duration::from_millis(900)).await;
    let asked = gateway.control.charges().len();
    assert_eq!(get_limited(&gateway, "/once/x", "last").await.status, 200);
    assert!(gateway.control.charges().len() > asked, "the owner is asked again");
}

/// Guards against a start of many routers at once, after which owners answer late: the first request
/// of a tenant waits, and the others are decided soon.
#[tokio::test]
async fn only_the_first_request_after_a_start_waits_for_a_slow_owner() {
    let server = healthy("a").await;
    let gateway = TestGateway::start_tight(&[&server]).await;
    gateway.control.set_charge_handling(ChargeHandling::AdmitLate);
    let started_at = Instant::now();
    let first = async {
        let status = get_limited(&gateway, "/once/x", "first").await.status;
        (status, started_at.elapsed())
    };
    let second = async {
        sleep(Duration::from_millis(50)).await;
        let status = get_limited(&gateway, "/once/x", "second").await.status;
        (status, started_at.elapsed())
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.0, 200);
    assert!(first.1 >= Duration::from_millis(200), "the owner decided");
    assert!([200, 429].contains(&second.0));
    assert!(second.1 < first.1, "{second:?} {first:?}");
}
