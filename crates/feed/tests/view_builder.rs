//! Merging the pushes of several replicas into one view that is complete and monotonic.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use juniper_catalog::{Catalog, RequestLimits};
use juniper_clock::BootInstant;
use juniper_feed::{Confirmation, FleetViewBuilder};
use juniper_protocol::message::{
    CatalogBody, FleetUpdate, KnownVersion, QuarantineUpdate, RenewalUpdate, WeightsAge,
};
use juniper_registry::{
    InstanceId, InstanceName, InstanceReport, InstanceState, LoadedModel, ObservedInstance,
    StartTime,
};
use juniper_types::{NodeId, RequestFingerprint, Timestamp};

const FIRST: NodeId = NodeId(1);
const SECOND: NodeId = NodeId(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn boot(millis: u64) -> BootInstant {
    BootInstant::BOOT + Duration::from_millis(millis)
}

fn fleet_update(revision: u64, catalog_version: u64) -> FleetUpdate {
    FleetUpdate {
        revision,
        catalog_version,
        weights: BTreeMap::new(),
        departures: Vec::new(),
        members: vec![FIRST, SECOND],
        quarantine: None,
        departed_through: Vec::new(),
        member_zones: Vec::new(),
        weights_ages: None,
    }
}

fn body(version: u64) -> Option<CatalogBody> {
    let catalog = Catalog { version, limits: RequestLimits::default(), ..Catalog::default() };
    Some(CatalogBody { version, body: minicbor::to_vec(&catalog).expect("encodes") })
}

fn observed(id: &str, sequence: u64) -> ObservedInstance {
    let report = InstanceReport {
        name: InstanceName::new(id),
        started: StartTime::UNKNOWN,
        software: None,
        service: "llm".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        zone: "north".to_owned(),
        slots: 4,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: vec![LoadedModel { model: "m".to_owned(), version: 1 }],
        sequence,
    };
    ObservedInstance { report, silent: false, age_ms: 0 }
}

fn connected() -> FleetViewBuilder {
    let mut builder = FleetViewBuilder::default();
    builder.set_connected(FIRST, true);
    builder.set_connected(SECOND, true);
    builder
}

fn ids(builder: &FleetViewBuilder) -> Vec<String> {
    {
        let known = builder.view().instances.iter();
        let mut ids: Vec<String> = known.map(|known| known.id.to_string()).collect();
        ids.sort();
        ids
    }
}

#[test]
fn a_catalog_is_requested_once_and_again_after_the_timeout() {
    let mut builder = connected();
    assert_eq!(
        builder.apply_fleet_update(FIRST, fleet_update(5, 3), at(0)).fetch,
        Some((FIRST, 0))
    );
    assert_eq!(builder.apply_fleet_update(SECOND, fleet_update(5, 3), at(10)).fetch, None);
    assert_eq!(builder.next_fetch(at(200)), None);
    assert!(builder.next_fetch(at(500)).is_some());
    let outcome = builder.apply_catalog(body(3), at(600)).expect("readable");
    assert!(outcome.changed && outcome.fetch.is_none());
    assert_eq!((builder.view().catalog_version(), builder.view().revision), (3, 5));
}

#[test]
fn a_lagging_replica_does_not_revert_the_view() {
    let mut builder = connected();
    builder.apply_fleet_update(FIRST, fleet_update(9, 4), at(0));
    builder.apply_catalog(body(4), at(1)).expect("readable");
    let lagging = builder.apply_fleet_update(SECOND, fleet_update(2, 1), at(2));
    assert_eq!(lagging.fetch, None);
    let outcome = builder.apply_catalog(body(1), at(3)).expect("readable");
    assert!(!outcome.changed);
    assert_eq!((builder.view().catalog_version(), builder.view().revision), (4, 9));
}

#[test]
fn a_confirmation_counts_once_the_view_has_its_revision() {
    let mut builder = connected();
    builder.apply_fleet_update(FIRST, fleet_update(5, 3), at(0));
    builder.record_confirmation(FIRST, boot(100), 5);
    assert_eq!(builder.confirmation(), None, "the catalog has not been received yet");
    builder.apply_catalog(body(3), at(200)).expect("readable");
    let confirmation = Some(Confirmation { at: boot(100), replica: FIRST });
    assert_eq!(builder.confirmation(), confirmation);
    builder.record_confirmation(SECOND, boot(50), 2);
    assert_eq!(
        builder.confirmation(),
        confirmation,
        "an older confirmation does not replace a newer one"
    );
}

#[test]
fn a_departed_server_is_not_added_again_by_late_heartbeats() {
    let mut builder = connected();
    builder.apply_instances(FIRST, vec![observed("a", 1), observed("b", 1)], true, Timestamp::ZERO);
    let departure = FleetUpdate { departures: vec![InstanceName::new("a")], ..fleet_update(7, 0) };
    assert!(builder.apply_fleet_update(FIRST, departure, at(0)).changed);
    builder.apply_instances(SECOND, vec![observed("a", 9)], true, Timestamp::ZERO);
    assert_eq!(ids(&builder), ["b"]);
}

#[test]
fn servers_of_a_disconnected_replica_stay_usable() {
    let mut builder = connected();
    builder.apply_fleet_update(FIRST, fleet_update(1, 0), at(0));
    builder.apply_instances(FIRST, vec![observed("a", 1)], true, Timestamp::ZERO);
    builder.set_connected(FIRST, false);
    assert_eq!(ids(&builder), ["a"]);
}

fn renewing(under_way: &[&str], ended: &[&str], versions: &[(&str, u64)]) -> RenewalUpdate {
    let ids = |ids: &[&str]| ids.iter().map(InstanceId::new).collect::<Vec<_>>();
    let version = |(id, version): &(&str, u64)| KnownVersion {
        instance: InstanceName::new(id),
        started: StartTime::UNKNOWN,
        model: "m".to_owned(),
        version: *version,
    };
    let versions = versions.iter().map(version).collect();
    let update = RenewalUpdate { versions, ..RenewalUpdate::default() };
    update.with_servers(&ids(under_way), &ids(ended))
}

#[test]
fn renewals_end_when_their_order_dispatcher_disconnects() {
    let mut builder = connected();
    builder.apply_instances(FIRST, vec![observed("b", 1)], true, Timestamp::ZERO);
    assert!(builder.apply_renewals(FIRST, renewing(&["a"], &[], &[("b", 2)])).changed);
    assert!(builder.view().renewing.contains(&InstanceId::new("a")));
    assert!(builder.set_connected(FIRST, false).changed);
    assert!(builder.view().renewing.is_empty());
    assert_eq!(builder.view().versions.len(), 1, "known versions are kept");
}

#[test]
fn renewals_are_pushed_as_changes_after_the_first_push() {
    let mut builder = connected();
    let ids =
        |builder: &FleetViewBuilder| builder.view().renewing.iter().cloned().collect::<Vec<_>>();
    builder.apply_renewals(FIRST, renewing(&["a", "b"], &[], &[]));
    builder.apply_renewals(FIRST, renewing(&["c"], &["a"], &[]));
    assert_eq!(ids(&builder), ["b", "c"].map(InstanceId::new));
    builder
        .apply_renewals(FIRST, RenewalUpdate { is_complete: true, ..renewing(&["d"], &[], &[]) });
    assert_eq!(ids(&builder), ["d"].map(InstanceId::new));
}

/// Guards against a list of versions that only grows.
#[test]
fn a_version_is_dropped_once_the_server_reports_it() {
    let mut builder = connected();
    builder.apply_instances(FIRST, vec![observed("a", 1), observed("b", 1)], true, Timestamp::ZERO);
    builder.apply_renewals(FIRST, renewing(&[], &[], &[("a", 2)]));
    let mut reported = observed("a", 2);
    reported.report.models = vec![LoadedModel { model: "m".to_owned(), version: 2 }];
    builder.apply_instances(FIRST, vec![reported], false, Timestamp::ZERO);
    builder.apply_renewals(FIRST, renewing(&[], &[], &[("b", 2), ("gone", 2)]));
    let versions = builder.view().versions.iter();
    let servers: Vec<_> = versions.map(|known| known.instance.as_str()).collect();
    assert_eq!(servers, ["b"]);
}

#[test]
fn each_version_of_weights_has_its_own_deadline() {
    let mut builder = connected();
    let named = |version| BTreeMap::from([("m".to_owned(), version)]);
    builder.apply_fleet_update(
        FIRST,
        FleetUpdate { weights: named(2), ..fleet_update(1, 0) },
        at(1_000),
    );
    builder.apply_fleet_update(
        FIRST,
        FleetUpdate { weights: named(3), ..fleet_update(2, 0) },
        at(4_000),
    );
    let wanted = &builder.view().weights["m"];
    let after = Duration::from_secs(5);
    assert_eq!(wanted.version(), 3);
    assert_eq!(wanted.floor(at(5_500), after), 0);
    assert_eq!(wanted.floor(at(6_500), after), 2);
    assert_eq!(wanted.floor(at(9_500), after), 3);
    assert_eq!(wanted.overdue_since(1), Some(at(1_000)));
    assert_eq!(wanted.overdue_since(2), Some(at(4_000)));
    assert_eq!(wanted.overdue_since(3), None);
}

fn weights_age(version: u64, age_ms: u64) -> WeightsAge {
    WeightsAge { model: "m".to_owned(), version, age_ms }
}

/// The replica has known the versions since before this router started.
#[test]
fn a_restarted_router_allows_old_weights_as_long_as_if_they_had_just_been_replaced() {
    let mut builder = connected();
    let update = FleetUpdate {
        weights: BTreeMap::from([("m".to_owned(), 3)]),
        weights_ages: Some(vec![weights_age(2, 9_000), weights_age(3, 4_000)]),
        ..fleet_update(1, 0)
    };
    builder.apply_fleet_update(FIRST, update, at(1_000));
    let wanted = &builder.view().weights["m"];
    let after = Duration::from_secs(5);
    assert_eq!((wanted.version(), wanted.floor(at(1_000), after)), (3, 2));
    assert_eq!(wanted.floor(at(2_000), after), 3);
}

/// The push waited in the socket while the router stood still; the reply did not.
#[test]
fn a_router_that_stood_still_counts_the_age_of_new_weights_from_its_waking() {
    let mut builder = connected();
    let weights = BTreeMap::from([("m".to_owned(), 2)]);
    builder.apply_fleet_update(FIRST, FleetUpdate { weights, ..fleet_update(1, 0) }, at(6_000));
    assert!(builder.apply_weights_ages(vec![weights_age(2, 5_000)], at(6_100)).changed);
    // A replica that has restarted since knows a shorter time.
    assert!(!builder.apply_weights_ages(vec![weights_age(2, 200)], at(6_200)).changed);
    assert_eq!(builder.view().weights["m"].floor(at(6_150), Duration::from_secs(5)), 2);
}

fn quarantine(is_complete: bool, added: &[u8], released: &[u8]) -> Option<QuarantineUpdate> {
    let named = |numbers: &[u8]| numbers.iter().map(|it| RequestFingerprint([*it; 16])).collect();
    Some(QuarantineUpdate { is_complete, added: named(added), released: named(released) })
}

fn quarantined(builder: &FleetViewBuilder) -> Vec<u8> {
    builder.view().quarantined.iter().map(|request| request.0[0]).collect()
}

#[test]
fn the_replica_with_the_highest_revision_decides_the_quarantine() {
    let mut builder = FleetViewBuilder::default();
    let update = |revision, quarantine| FleetUpdate { quarantine, ..fleet_update(revision, 0) };
    builder.apply_fleet_update(FIRST, update(1, quarantine(true, &[1, 2], &[])), at(0));
    builder.apply_fleet_update(SECOND, update(1, quarantine(true, &[1, 2], &[])), at(0));
    assert_eq!(quarantined(&builder), [1, 2]);
    builder.apply_fleet_update(FIRST, update(2, quarantine(false, &[3], &[1])), at(1));
    assert_eq!(quarantined(&builder), [2, 3]);
    // The second replica lags behind with another quarantine.
    assert!(!builder.apply_fleet_update(SECOND, update(1, None), at(2)).changed);
    assert_eq!(quarantined(&builder), [2, 3], "released requests stay released");
    builder.apply_fleet_update(SECOND, update(3, quarantine(false, &[3, 4], &[1])), at(3));
    assert_eq!(quarantined(&builder), [2, 3, 4]);
    // A re-established connection starts with a complete push.
    builder.apply_fleet_update(FIRST, update(4, quarantine(true, &[4], &[])), at(4));
    assert_eq!(quarantined(&builder), [4]);
}

/// Guards against renewals and versions of an earlier incarnation that are applied to a later one.
#[test]
fn renewals_of_an_incarnation_do_not_apply_to_the_next_one() {
    let started = |unix_ms| {
        let mut server = observed("a", 1);
        server.report.started = StartTime::from_unix_ms(unix_ms);
        server
    };
    let mut builder = connected();
    builder.apply_instances(FIRST, vec![started(100)], true, at(0));
    let first = started(100).report.id();
    builder.apply_renewals(FIRST, RenewalUpdate::default().with_servers([&first], []));
    assert!(builder.view().renewing.contains(&first));
    builder.apply_instances(SECOND, vec![started(200)], true, at(1));
    let known = builder.view().instances.iter().next().expect("one server").id.clone();
    assert!(known != first && !builder.view().renewing.contains(&known));
    let version = KnownVersion {
        instance: first.name().clone(),
        started: first.started(),
        model: "m".to_owned(),
        version: 9,
    };
    builder.apply_renewals(
        FIRST,
        RenewalUpdate { versions: vec![version], ..RenewalUpdate::default() },
    );
    assert!(builder.view().versions.is_empty());
}
