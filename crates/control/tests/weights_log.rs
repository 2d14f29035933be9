//! Times for which a replica has known the target versions of weights.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_control::replica::WeightsLog;

fn at(seconds: u64) -> BootInstant {
    BootInstant::BOOT + Duration::from_secs(seconds)
}

fn named(version: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([("m".to_owned(), version)])
}

#[test]
fn each_version_keeps_the_time_at_which_it_became_known() {
    let mut log = WeightsLog::default();
    assert!(log.record(&named(2), at(10)));
    assert!(!log.record(&named(2), at(12)), "known");
    assert!(log.record(&named(3), at(14)));
    assert!(!log.record(&named(2), at(15)), "older");
    let ages = |now| log.ages(now).into_iter().map(|age| (age.version, age.age_ms)).collect();
    assert_eq!(Vec::from_iter::<Vec<_>>(ages(at(16))), [(2, 6_000), (3, 2_000)]);
    let recent = log.recent_ages(at(22)).expect("one is recent");
    assert_eq!(recent.iter().map(|age| age.version).collect::<Vec<_>>(), [3]);
    assert_eq!(log.recent_ages(at(40)), None);
}
