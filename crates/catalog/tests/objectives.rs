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
fn one_tight_stream_makes_its_service_and_the_services_without_engines_tight() {
    let loose = route("engines", RouteKind::Stream, 1_500, 1);
    assert_eq!(tight(vec![loose, route("engines", RouteKind::Stream, 450, 1)]), (true, true));
}

#[test]
fn loose_streams_tight_calls_and_unset_objectives_change_nothing() {
    let routes = vec![
        route("engines", RouteKind::Stream, 451, 1),
        route("engines", RouteKind::Stream, 0, 1),
        route("engines", RouteKind::Stream, 300, 0),
        route("engines", RouteKind::Repeatable, 120, 1),
        route("application", RouteKind::AtMostOnce, 120, 1),
    ];
    assert_eq!(tight(routes), (false, false));
}
