//! Services that must not be served by outdated settings.

use std::time::Duration;

use juniper_router::settings_age::{CUT_OFF_AFTER, SettingsAge};
use juniper_settings::{EffectiveSettings, Overrides, PartitionPolicy};

fn settings(cut_off: PartitionPolicy) -> EffectiveSettings {
    let defaults = EffectiveSettings::resolve(&Overrides::default());
    EffectiveSettings { cut_off, max_settings_age_seconds: 60, ..defaults }
}

/// The settings file may be older than the start by any time.
#[test]
fn a_restarted_router_that_reaches_no_replica_serves_a_service_that_refuses_outdated_settings() {
    let refusing = settings(PartitionPolicy::Refuse);
    for age in [Duration::ZERO, Duration::from_secs(2), Duration::from_secs(90)] {
        assert!(!SettingsAge::Unconfirmed(age).allows(&refusing), "{age:?}");
    }
    assert!(SettingsAge::Confirmed(CUT_OFF_AFTER).allows(&refusing));
    assert!(!SettingsAge::Confirmed(CUT_OFF_AFTER + Duration::from_millis(1)).allows(&refusing));
}

#[test]
fn other_services_are_served_at_once_after_a_start_and_until_the_maximum_age() {
    let serving = settings(PartitionPolicy::Serve);
    assert!(SettingsAge::Unconfirmed(Duration::ZERO).allows(&serving));
    assert!(SettingsAge::Confirmed(Duration::from_secs(60)).allows(&serving));
    assert!(!SettingsAge::Unconfirmed(Duration::from_secs(61)).allows(&serving));
}
