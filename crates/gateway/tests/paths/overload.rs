//! Calls without prompts beyond what the servers can process.

use std::time::Duration;

use juniper_catalog::{Catalog, EngineProfile, Route, RouteKind, Service, SplitPart};
use juniper_protocol::message::{DispatchReport, RouterUpdate};
use tokio::time::{Instant, sleep};

use crate::support::caller::get;
use crate::support::server::{FakeServer, Step, complete_answer};
use crate::support::{TestGateway, catalog};

/// Time that the server takes for a call.
const PROCESSING_TIME: Duration = Duration::from_millis(60);

/// Calls from which on the concurrency limit is known.
const MEASURED_CALLS: usize = 24;

/// The catalog with engines and a streaming route to them with an objective of 300 ms, which makes
/// all services tight.
fn tight_catalog() -> Catalog {
    let mut catalog = catalog();
    let engine = EngineProfile {
        slots: 8,
        cache_tokens: 1_000,
        token_bytes: 1,
        link_mbps: 0.0,
        event_calls: 0,
        models: Vec::new(),
    };
    let split = vec![SplitPart { service: "engines".to_owned(), weight: 1 }];
    let (name, path_prefix) = ("prompts".to_owned(), "/prompts/".to_owned());
    let app = catalog.services[0].clone();
    catalog.services.push(Service { name: "engines".to_owned(), engine: Some(engine), ..app });
    let stream = catalog.routes.iter().find(|route| route.kind == RouteKind::Stream);
    let stream = stream.expect("a streaming route").clone();
    catalog.routes.push(Route { name, path_prefix, split, ..stream });
    catalog
}

/// Other routers' calls in flight at the server.
fn calls_in_flight(server: &FakeServer, count: u16) -> RouterUpdate {
    let report = |request_number| DispatchReport {
        instance: server.report().name,
        version: 0,
        prefix_hashes: Vec::new(),
        uncached_tokens: 0,
        prefill_tokens: 0,
        segment_tokens: Vec::new(),
        unshared_tokens: 0,
        request_number,
        model: None,
    };
    RouterUpdate { dispatches: (1..=count).map(report).collect(), ..RouterUpdate::default() }
}

/// Guards against calls that are sent although their answers are known to be late, and against
/// refusals that take long or are untrue.
#[tokio::test]
async fn a_call_that_no_server_can_answer_in_time_is_refused_at_once_and_not_sent() {
    let server = FakeServer::start("a", |_, head| {
        vec![Step::Wait(PROCESSING_TIME), Step::Send(complete_answer(head, "200 OK", "fine"))]
    })
    .await;
    let gateway = TestGateway::start_with_catalog(tight_catalog(), &[&server], |_| ()).await;
    let gateway = gateway.ready().await;
    for number in 0..MEASURED_CALLS {
        assert_eq!(get(gateway.callers, "/once/x", &format!("r{number}")).await.status, 200);
    }
    // With eight slots, 40 calls take 300 ms.
    gateway.control.send_peer_update(1, "north", calls_in_flight(&server, 40));
    sleep(Duration::from_millis(100)).await;
    let sent_at = Instant::now();
    let answer = get(gateway.callers, "/once/x", "refused").await;
    assert!(sent_at.elapsed() < PROCESSING_TIME, "{:?}", sent_at.elapsed());
    assert_eq!((answer.status, answer.body.as_str()), (503, "{\"error\":\"overloaded\"}\n"));
    // The router promises no return before it knows the load (`juniper-waiting`).
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(server.requests().len(), MEASURED_CALLS, "a refused call is not sent");
    let ended_requests = (1..=40).collect();
    let ended = RouterUpdate { ended_requests, ..RouterUpdate::default() };
    gateway.control.send_peer_update(1, "north", ended);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(get(gateway.callers, "/once/x", "served").await.status, 200);
}
