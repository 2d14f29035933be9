//! A configuration without tight objectives must not enable the overload decisions for tight ones.

use juniper_catalog::{Catalog, EngineProfile, Route, RouteKind, Service, SplitPart};

fn service(name: &str, has_engine: bool) -> Service {
    let engine = EngineProfile {
        slots: 32,
        cache_tokens: 100_000,
        token_bytes: 1,
        link_mbps: 1.0,
        event_calls: 1,
        models: vec!["m".to_owned()],
    };
    Service {
        name: name.to_owned(),
        health_path: "/healthz".to_owned(),
        max_connections: 0,
        engine: has_engine.then_some(engine),
        store: None,
    }
}

fn route(service: &str, kind: RouteKind, objective_ms: u64, weight: u32) -> Route {
    Route {
        name: format!("{service}-{objective_ms}"),
        host: "host".to_owned(),
        path_prefix: format!("/{service}/{objective_ms}/"),
        kind,
        timeout_ms: 4_000,
        objective_ms,
        priority: 0,
        split: vec![SplitPart { service: service.to_owned(), weight }],
        max_attempts: 1,
        anonymous: false,
        has_prompt: kind == RouteKind::Stream,
        resumable: false,
        max_pause_ms: Some(300),
    }
}

fn catalog(routes: Vec<Route>) -> Catalog {
    let services = vec![service("engines", true), service("application", false)];
    Catalog { routes, services, ..Catalog::default() }
}

/// Whether the services with and without engines are tight.
fn tight(routes: Vec<Route>) -> (bool, bool) {
    let catalog = catalog(routes);
    (catalog.is_tight(&catalog.services[0]), catalog.is_tight(&catalog.services[1]))
}

#[test]
fn tight_streams_make_their_service_and_the_services_without_engines_tight() {
    let streams = [300, 450].map(|objective| route("engines", RouteKind::Stream, objective, 1));
    let loose_call = route("engines", RouteKind::Repeatable, 2_000, 1);
    assert_eq!(tight([&streams[..], &[loose_call]].concat()), (true, true));
}

/// The timing model underestimates queues that urgent prompts overtake, so that more was late than
/// under the earlier rules.
#[test]
fn a_service_with_a_longer_objective_beside_a_tight_one_is_not_tight() {
    let routes = vec![
        route("engines", RouteKind::Stream, 1_500, 1),
        route("engines", RouteKind::Stream, 400, 1),
    ];
    assert!(catalog(routes.clone()).has_tight_stream());
    assert_eq!(tight(routes), (false, false));
}

#[test]
fn loose_streams_tight_calls_and_unset_objectives_change_nothing() {
    let loose = [
        vec![route("engines", RouteKind::Stream, 451, 1)],
        vec![route("engines", RouteKind::Stream, 0, 1)],
        vec![route("engines", RouteKind::Stream, 300, 0)],
        vec![
            route("engines", RouteKind::Repeatable, 120, 1),
            route("application", RouteKind::AtMostOnce, 120, 1),
        ],
        Vec::new(),
    ];
    let to_application = vec![route("application", RouteKind::Stream, 300, 1)];
    assert!(!catalog(to_application.clone()).has_tight_stream());
    for routes in loose.into_iter().chain([to_application]) {
        assert_eq!(tight(routes.clone()), (false, false), "{routes:?}");
    }
}
