//! Validation, lookup, encoding and traffic splits of configurations.

use std::sync::Arc;

use juniper_catalog::{
    Catalog, CatalogFault, CatalogIndex, KeyAccess, LimitUnit, RequestLimits, Route, RouteKind,
    Service, SplitPart, Tenant, TenantLimit, WeightedSplit,
};
use quickcheck::quickcheck;

fn part(service: &str, weight: u32) -> SplitPart {
    SplitPart { service: service.to_owned(), weight }
}

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "board.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        timeout_ms: 2_000,
        objective_ms: 300,
        priority: 1,
        split: vec![part("app", 1)],
        max_attempts: 2,
        anonymous: false,
        has_prompt: false,
        resumable: false,
        max_pause_ms: None,
    }
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    Tenant { name: name.to_owned(), keys, priority: None, isolated: false, limit: None }
}

fn catalog() -> Catalog {
    let service = |name: &str| Service {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 10,
        engine: None,
        store: None,
    };
    Catalog {
        version: 7,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        services: vec![service("app"), service("other")],
        limits: RequestLimits::default(),
        tenants: vec![tenant("one", &["k1", "k2"]), tenant("two", &["k3"])],
    }
}

#[test]
fn negative_and_non_finite_limits_are_faults() {
    for (per_second, burst) in [(-1.0, 0.0), (f64::NAN, 0.0), (1.0, f64::INFINITY)] {
        let mut catalog = catalog();
        let unit = LimitUnit::Requests;
        catalog.tenants[1].limit = Some(TenantLimit { per_second, burst, unit });
        assert!(matches!(catalog.faults()[..], [CatalogFault::InvalidLimit { .. }]));
    }
}

#[test]
fn tenants_stored_without_a_limit_field_are_decoded() {
    // Encoding of earlier versions, without the fifth field.
    let stored = minicbor::to_vec(("one", ["k1"], None::<u8>, true)).expect("encodes");
    let decoded: Tenant = minicbor::decode(&stored).expect("decodes");
    assert_eq!((decoded.isolated, decoded.limit), (true, None));
}

#[test]
fn a_valid_configuration_has_no_faults() {
    assert_eq!(catalog().faults(), []);
}

#[test]
fn all_faults_are_reported_together() {
    let mut broken = catalog();
    broken.routes[0].split = vec![part("nowhere", 1)];
    broken.routes[1].split = vec![part("app", 0)];
    broken.routes.push(Route { timeout_ms: 0, ..route("third", "/a/") });
    broken.tenants.push(tenant("three", &["k1"]));
    let faults = broken.faults();
    let expected = [
        CatalogFault::UnknownService { route: "short".into(), service: "nowhere".into() },
        CatalogFault::ZeroWeight { route: "long".into() },
        CatalogFault::ZeroTimeout { route: "third".into() },
        CatalogFault::DuplicateRoute { first: "short".into(), second: "third".into() },
        CatalogFault::SharedKey { first: "one".into(), second: "three".into() },
    ];
    assert_eq!(faults, expected);
}

#[test]
fn a_route_without_parts_has_zero_weight() {
    let mut broken = catalog();
    broken.routes[0].split.clear();
    assert_eq!(broken.faults(), [CatalogFault::ZeroWeight { route: "short".into() }]);
}

#[test]
fn a_key_listed_twice_by_one_tenant_is_valid() {
    let mut doubled = catalog();
    doubled.tenants[0].keys.push("k1".into());
    assert_eq!(doubled.faults(), []);
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_chosen() {
    let index = CatalogIndex::new(Arc::new(catalog()));
    let name = |host: &str, path: &str| {
        let route_index = index.find_route_index(host, path)?;
        index.route(route_index).map(|route| route.name.clone())
    };
    assert_eq!(name("board.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("board.example", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("BOARD.example", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("board.example", "/b"), None);
    assert_eq!(name("elsewhere.example", "/a/c"), None);
}

#[test]
fn keys_identify_tenants_and_unknown_keys_are_denied() {
    let index = CatalogIndex::new(Arc::new(catalog()));
    let closed = route("closed", "/x/");
    let open = Route { anonymous: true, ..closed.clone() };
    let tenant_of = |key: &str| match index.access(&closed, Some(key)) {
        KeyAccess::Tenant(tenant) => Some(tenant.name.clone()),
        _ => None,
    };
    assert_eq!(tenant_of("k2").as_deref(), Some("one"));
    assert_eq!(tenant_of("k3").as_deref(), Some("two"));
    assert_eq!(index.access(&closed, Some("k4")), KeyAccess::Denied);
    assert_eq!(index.access(&closed, None), KeyAccess::Denied);
    assert_eq!(index.access(&open, None), KeyAccess::Open);
    let without_tenants = Catalog { tenants: Vec::new(), ..catalog() };
    let index = CatalogIndex::new(Arc::new(without_tenants));
    assert_eq!(index.access(&closed, None), KeyAccess::Open);
}

#[test]
fn configurations_round_trip_through_cbor() {
    let bytes = minicbor::to_vec(catalog()).expect("encodes");
    assert_eq!(minicbor::decode::<Catalog>(&bytes).expect("decodes"), catalog());
}

quickcheck! {
    /// Each part's count differs from its exact share by at most the number of parts.
    fn splits_follow_the_weights(weights: Vec<u8>, picks: u8) -> bool {
        let parts: Vec<_> = weights.iter().take(5).map(|w| part("s", u32::from(*w))).collect();
        let total: u32 = parts.iter().map(|part| part.weight).sum();
        let mut split = WeightedSplit::default();
        let mut counts = vec![0_u32; parts.len()];
        for _ in 0..picks {
            match split.pick(&parts) {
                Some(index) => counts[index] += 1,
                None => return total == 0,
            }
        }
        parts.iter().zip(&counts).all(|(part, count)| {
            let share = f64::from(part.weight) / f64::from(total.max(1)) * f64::from(picks);
            (f64::from(*count) - share).abs() <= parts.len() as f64
        })
    }
}
