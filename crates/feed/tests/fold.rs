//! One view of what several replicas push: it is complete when it says so, and it
//! never goes back.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use juniper_catalog::{Catalog, RequestLimits};
use juniper_feed::FleetFold;
use juniper_protocol::message::{
    CatalogBody, FleetUpdate, KnownVersion, QuarantineUpdate, RenewalUpdate,
};
use juniper_registry::{
    HeardInstance, InstanceId, InstanceName, InstanceReport, InstanceState, ModelHolding, StartTime,
};
use juniper_types::{NodeId, RequestFingerprint, Timestamp};

const FIRST: NodeId = NodeId(1);
const SECOND: NodeId = NodeId(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn news(revision: u64, catalog_version: u64) -> FleetUpdate {
    FleetUpdate {
        revision,
        catalog_version,
        weights: BTreeMap::new(),
        departures: Vec::new(),
        members: vec![FIRST, SECOND],
        quarantine: None,
        departed_through: Vec::new(),
        member_zones: Vec::new(),
    }
}

fn body(version: u64) -> Option<CatalogBody> {
    let catalog = Catalog { version, limits: RequestLimits::default(), ..Catalog::default() };
    Some(CatalogBody { version, body: minicbor::to_vec(&catalog).expect("encodes") })
}

fn heard(id: &str, sequence: u64) -> HeardInstance {
    let report = InstanceReport {
        name: InstanceName::new(id),
        started: StartTime::UNKNOWN,
        service: "llm".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        zone: "north".to_owned(),
        slots: 4,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: vec![ModelHolding { model: "m".to_owned(), version: 1 }],
        sequence,
    };
    HeardInstance { report, silent: false, age_ms: 0 }
}

fn connected() -> FleetFold {
    let mut fold = FleetFold::default();
    fold.set_connected(FIRST, true);
    fold.set_connected(SECOND, true);
    fold
}

fn ids(fold: &FleetFold) -> Vec<String> {
    {
        let known = fold.view().instances.iter();
        let mut ids: Vec<String> = known.map(|known| known.id.to_string()).collect();
        ids.sort();
        ids
    }
}

#[test]
fn a_configuration_is_asked_for_once_and_again_when_it_does_not_come() {
    let mut fold = connected();
    assert_eq!(fold.news(FIRST, news(5, 3), at(0)).fetch, Some((FIRST, 0)));
    assert_eq!(fold.news(SECOND, news(5, 3), at(10)).fetch, None);
    assert_eq!(fold.next_fetch(at(200)), None);
    assert!(fold.next_fetch(at(500)).is_some());
    let outcome = fold.catalog(body(3), at(600)).expect("readable");
    assert!(outcome.changed && outcome.fetch.is_none());
    assert_eq!((fold.view().catalog_version(), fold.view().revision), (3, 5));
}

#[test]
fn a_replica_that_lags_takes_nothing_back() {
    let mut fold = connected();
    fold.news(FIRST, news(9, 4), at(0));
    fold.catalog(body(4), at(1)).expect("readable");
    let late = fold.news(SECOND, news(2, 1), at(2));
    assert_eq!(late.fetch, None);
    let outcome = fold.catalog(body(1), at(3)).expect("readable");
    assert!(!outcome.changed);
    assert_eq!((fold.view().catalog_version(), fold.view().revision), (4, 9));
}

#[test]
fn a_confirmation_counts_once_the_view_is_as_new() {
    let mut fold = connected();
    fold.news(FIRST, news(5, 3), at(0));
    fold.confirmed(FIRST, at(100), 5);
    assert_eq!(fold.confirmed_at(), None, "the configuration has not come yet");
    fold.catalog(body(3), at(200)).expect("readable");
    assert_eq!(fold.confirmed_at(), Some(at(100)));
    fold.confirmed(SECOND, at(50), 2);
    assert_eq!(fold.confirmed_at(), Some(at(100)), "an older one takes nothing back");
}

#[test]
fn a_server_that_left_stays_away_whatever_heartbeats_say() {
    let mut fold = connected();
    fold.instances(FIRST, vec![heard("a", 1), heard("b", 1)], true, Timestamp::ZERO);
    let left = FleetUpdate { departures: vec![InstanceName::new("a")], ..news(7, 0) };
    assert!(fold.news(FIRST, left, at(0)).changed);
    fold.instances(SECOND, vec![heard("a", 9)], true, Timestamp::ZERO);
    assert_eq!(ids(&fold), ["b"]);
}

#[test]
fn servers_of_a_lost_replica_stay_usable() {
    let mut fold = connected();
    fold.news(FIRST, news(1, 0), at(0));
    fold.instances(FIRST, vec![heard("a", 1)], true, Timestamp::ZERO);
    fold.set_connected(FIRST, false);
    assert_eq!(ids(&fold), ["a"]);
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
    let news = RenewalUpdate { versions, ..RenewalUpdate::default() };
    news.with_servers(&ids(under_way), &ids(ended))
}

#[test]
fn renewals_end_when_their_giver_is_lost() {
    let mut fold = connected();
    fold.instances(FIRST, vec![heard("b", 1)], true, Timestamp::ZERO);
    assert!(fold.renewals(FIRST, renewing(&["a"], &[], &[("b", 2)])).changed);
    assert!(fold.view().renewing.contains(&InstanceId::new("a")));
    assert!(fold.set_connected(FIRST, false).changed);
    assert!(fold.view().renewing.is_empty());
    assert_eq!(fold.view().versions.len(), 1, "what is known of versions stays true");
}

#[test]
fn renewals_are_told_as_changes_after_the_first_time() {
    let mut fold = connected();
    let ids = |fold: &FleetFold| fold.view().renewing.iter().cloned().collect::<Vec<_>>();
    fold.renewals(FIRST, renewing(&["a", "b"], &[], &[]));
    fold.renewals(FIRST, renewing(&["c"], &["a"], &[]));
    assert_eq!(ids(&fold), ["b", "c"].map(InstanceId::new));
    fold.renewals(FIRST, RenewalUpdate { is_complete: true, ..renewing(&["d"], &[], &[]) });
    assert_eq!(ids(&fold), ["d"].map(InstanceId::new));
}

/// A list that only grows would be pushed and walked through for ever.
#[test]
fn a_version_that_a_server_reports_itself_is_kept_no_longer() {
    let mut fold = connected();
    fold.instances(FIRST, vec![heard("a", 1), heard("b", 1)], true, Timestamp::ZERO);
    fold.renewals(FIRST, renewing(&[], &[], &[("a", 2)]));
    let mut reported = heard("a", 2);
    reported.report.models = vec![ModelHolding { model: "m".to_owned(), version: 2 }];
    fold.instances(FIRST, vec![reported], false, Timestamp::ZERO);
    fold.renewals(FIRST, renewing(&[], &[], &[("b", 2), ("gone", 2)]));
    let versions = fold.view().versions.iter();
    let servers: Vec<_> = versions.map(|known| known.instance.as_str()).collect();
    assert_eq!(servers, ["b"]);
}

#[test]
fn each_version_of_weights_has_a_time_of_its_own() {
    let mut fold = connected();
    let named = |version| BTreeMap::from([("m".to_owned(), version)]);
    fold.news(FIRST, FleetUpdate { weights: named(2), ..news(1, 0) }, at(1_000));
    fold.news(FIRST, FleetUpdate { weights: named(3), ..news(2, 0) }, at(4_000));
    let wanted = &fold.view().weights["m"];
    let after = Duration::from_secs(5);
    assert_eq!(wanted.version(), 3);
    assert_eq!(wanted.floor(at(5_500), after), 0);
    assert_eq!(wanted.floor(at(6_500), after), 2);
    assert_eq!(wanted.floor(at(9_500), after), 3);
    assert_eq!(wanted.overdue_since(1), Some(at(1_000)));
    assert_eq!(wanted.overdue_since(2), Some(at(4_000)));
    assert_eq!(wanted.overdue_since(3), None);
}

#[test]
fn the_number_of_routers_is_that_of_the_best_informed_replica() {
    let mut fold = connected();
    assert_eq!(fold.routers(), 1);
    fold.set_routers(FIRST, 3);
    fold.set_routers(SECOND, 7);
    assert_eq!(fold.routers(), 7);
    fold.set_connected(SECOND, false);
    assert_eq!(fold.routers(), 3);
}

fn quarantine(is_complete: bool, added: &[u8], released: &[u8]) -> Option<QuarantineUpdate> {
    let named = |numbers: &[u8]| numbers.iter().map(|it| RequestFingerprint([*it; 16])).collect();
    Some(QuarantineUpdate { is_complete, added: named(added), released: named(released) })
}

fn quarantined(fold: &FleetFold) -> Vec<u8> {
    fold.view().quarantined.iter().map(|request| request.0[0]).collect()
}

#[test]
fn the_replica_that_has_applied_most_says_which_requests_are_in_quarantine() {
    let mut fold = FleetFold::default();
    let told = |revision, quarantine| FleetUpdate { quarantine, ..news(revision, 0) };
    fold.news(FIRST, told(1, quarantine(true, &[1, 2], &[])), at(0));
    fold.news(SECOND, told(1, quarantine(true, &[1, 2], &[])), at(0));
    assert_eq!(quarantined(&fold), [1, 2]);
    fold.news(FIRST, told(2, quarantine(false, &[3], &[1])), at(1));
    assert_eq!(quarantined(&fold), [2, 3]);
    // The other one lags behind and is told something else.
    assert!(!fold.news(SECOND, told(1, None), at(2)).changed);
    assert_eq!(quarantined(&fold), [2, 3], "what was released stays so");
    fold.news(SECOND, told(3, quarantine(false, &[3, 4], &[1])), at(3));
    assert_eq!(quarantined(&fold), [2, 3, 4]);
    // A connection that was made again begins with everything.
    fold.news(FIRST, told(4, quarantine(true, &[4], &[])), at(4));
    assert_eq!(quarantined(&fold), [4]);
}

/// Renewals and versions are those of an incarnation: one that has started again is not under way.
#[test]
fn renewals_of_an_incarnation_say_nothing_of_the_next_one() {
    let started = |unix_ms| {
        let mut heard = heard("a", 1);
        heard.report.started = StartTime::from_unix_ms(unix_ms);
        heard
    };
    let mut fold = connected();
    fold.instances(FIRST, vec![started(100)], true, at(0));
    let first = started(100).report.id();
    fold.renewals(FIRST, RenewalUpdate::default().with_servers([&first], []));
    assert!(fold.view().renewing.contains(&first));
    fold.instances(SECOND, vec![started(200)], true, at(1));
    let known = fold.view().instances.iter().next().expect("a server").id.clone();
    assert!(known != first && !fold.view().renewing.contains(&known));
    let version = KnownVersion {
        instance: first.name().clone(),
        started: first.started(),
        model: "m".to_owned(),
        version: 9,
    };
    fold.renewals(FIRST, RenewalUpdate { versions: vec![version], ..RenewalUpdate::default() });
    assert!(fold.view().versions.is_empty());
}
