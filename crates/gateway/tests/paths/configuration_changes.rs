//! Requests in progress while the configuration or the list of servers changes.

use std::time::{Duration, Instant};

use juniper_catalog::{Catalog, LimitUnit, Route, TenantLimit};
use tokio::task::JoinSet;

use crate::support::caller::{Answer, get};
use crate::support::server::{
    FakeServer, LAST_CHUNK, Step, complete_answer, event, header, stream_head,
};
use crate::support::{TEST_TIMEOUT, TestGateway, catalog};

/// Time between the parts of an answer; the change comes into force in the first of two.
const GAP: Duration = Duration::from_millis(700);

/// Routes of each kind, repeatable and not.
const PATHS: [&str; 4] = ["/safe/x", "/once/x", "/stream/x", "/resumable/x"];

/// Limit that no further request keeps to.
const NO_MORE: TenantLimit =
    TenantLimit { per_second: 0.001, burst: 0.001, unit: LimitUnit::Tokens { plain: 200 } };

/// Server that answers at once if asked for it, and otherwise takes two gaps.
async fn slow_server() -> FakeServer {
    FakeServer::start("a", |_, head| {
        let is_probe = header(head, "x-id").is_some_and(|id| id.starts_with("probe"));
        if is_probe {
            return vec![Step::Send(complete_answer(head, "200 OK", "probed"))];
        }
        if head.contains("/safe/") || head.contains("/once/") {
            let answer = complete_answer(head, "200 OK", "d1 d2");
            let (begin, end) = answer.split_at(answer.len() - 3);
            return vec![
                Step::Send(begin.to_owned()),
                Step::Wait(GAP),
                Step::Wait(GAP),
                Step::Send(end.to_owned()),
            ];
        }
        vec![
            Step::Send(stream_head(head, "a")),
            Step::Send(event(1)),
            Step::Wait(GAP),
            Step::Send(event(2)),
            Step::Wait(GAP),
            Step::Send(event(3)),
            Step::Send(LAST_CHUNK.to_owned()),
        ]
    })
    .await
}

/// Waits until a new request is answered as the change demands.
async fn wait_until_in_force(gateway: &TestGateway, is_changed: fn(&Answer) -> bool) {
    let started_at = Instant::now();
    loop {
        let answer = get(gateway.callers, "/once/x", "probe").await;
        if is_changed(&answer) {
            return;
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "not in force: {answer:?}");
    }
}

/// Makes the change while requests on all routes are in progress. All of them have to be answered by
/// the servers that they were sent to.
async fn check(change: impl FnOnce(&TestGateway), is_changed: fn(&Answer) -> bool) {
    let server = slow_server().await;
    let gateway = TestGateway::start(&[&server]).await;
    let mut answers = JoinSet::new();
    for path in PATHS {
        let callers = gateway.callers;
        answers.spawn(async move { (path, get(callers, path, path).await) });
    }
    while server.requests().len() < PATHS.len() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    change(&gateway);
    wait_until_in_force(&gateway, is_changed).await;
    for (path, answer) in answers.join_all().await {
        assert!(answer.complete && answer.body.contains("d2"), "{path}: {answer:?}");
    }
    assert_eq!(server.abandoned(), 0);
    let sent = server.requests().iter().filter(|head| !head.contains("probe")).count();
    assert_eq!(sent, PATHS.len());
}

/// Puts a changed catalog in force.
fn set(change: fn(&mut Catalog)) -> impl FnOnce(&TestGateway) {
    move |gateway| {
        let mut changed = Catalog { version: 2, ..catalog() };
        change(&mut changed);
        gateway.control.set_catalog(changed);
    }
}

// Guards against answers in progress that end because their route is dropped.
#[tokio::test]
async fn a_dropped_route_ends_its_requests() {
    check(set(|catalog| catalog.routes.clear()), |answer| answer.status == 404).await;
}

// Guards against the same if their route leads to another service.
#[tokio::test]
async fn a_moved_route_ends_its_requests() {
    let change = |catalog: &mut Catalog| {
        for route in &mut catalog.routes {
            route.split[0].service = "other".to_owned();
        }
        let other = catalog.services[0].clone();
        catalog.services.push(juniper_catalog::Service { name: "other".to_owned(), ..other });
    };
    check(set(change), |answer| answer.status == 503).await;
}

// Guards against the same if their service is dropped.
#[tokio::test]
async fn a_dropped_service_ends_its_requests() {
    let change = |catalog: &mut Catalog| {
        catalog.routes.clear();
        catalog.services.clear();
    };
    check(set(change), |answer| answer.status == 404).await;
}

// Guards against the same if the key of their caller is taken away.
#[tokio::test]
async fn a_revoked_key_ends_the_requests_sent_with_it() {
    let change = |catalog: &mut Catalog| catalog.tenants.retain(|tenant| tenant.name != "tenant-1");
    check(set(change), |answer| answer.status == 401).await;
}

// Guards against the same if their tenant gets a limit that is spent.
#[tokio::test]
async fn a_new_limit_ends_the_requests_of_its_tenant() {
    let change = |gateway: &TestGateway| {
        let refuse = crate::support::control::ChargeHandling::Refuse { pause_ms: 1_000 };
        gateway.control.set_charge_handling(refuse);
        set(|catalog| catalog.tenants[0].limit = Some(NO_MORE))(gateway);
    };
    check(change, |answer| answer.status == 429).await;
}

// Guards against the same if the timeout of their route is lowered below their age.
#[tokio::test]
async fn a_lowered_timeout_ends_earlier_requests() {
    let change = |catalog: &mut Catalog| {
        catalog.routes.iter_mut().for_each(|route| route.timeout_ms = 1);
    };
    check(set(change), |answer| answer.status == 503).await;
}

// Guards against the same if their server leaves the list.
#[tokio::test]
async fn a_server_that_leaves_the_list_ends_its_requests() {
    check(|gateway| gateway.control.remove_servers(), |answer| answer.status == 503).await;
}

// Guards against the same if configurations come in quick succession.
#[tokio::test]
async fn configurations_in_quick_succession_end_requests() {
    const VERSIONS: u64 = 40;
    let change = |gateway: &TestGateway| {
        for version in 2..VERSIONS {
            let mut changed = Catalog { version, ..catalog() };
            let idle =
                Route { path_prefix: format!("/idle-{version}/"), ..changed.routes[0].clone() };
            changed.routes.push(idle);
            gateway.control.set_catalog(changed);
        }
        gateway.control.set_catalog(Catalog { version: VERSIONS, routes: vec![], ..catalog() });
    };
    check(change, |answer| answer.status == 404).await;
}
