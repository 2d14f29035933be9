//! A router is ready once the back ends of the settings in force are applied.

use juniper_router::backends::BackEnds;
use juniper_router::engines::Engines;
use juniper_router::in_force::SettingsInForce;
use juniper_settings::SettingsTree;
use juniper_types::Revision;

fn settings(revision: u64) -> SettingsInForce {
    SettingsInForce::new(Revision(revision), SettingsTree::default())
}

#[test]
fn engines_count_as_applied_only_from_settings_in_force() {
    let engines = Engines::new();
    assert!(!engines.has_applied_settings());
    engines.apply_settings(&settings(0));
    assert!(!engines.has_applied_settings(), "revision 0 means that no settings are in force");
    engines.apply_settings(&settings(1));
    assert!(engines.has_applied_settings());
}

#[test]
fn back_ends_count_as_applied_only_from_settings_in_force() {
    let back_ends = BackEnds::default();
    back_ends.apply_settings(&settings(0));
    assert!(!back_ends.has_applied_settings(), "revision 0 means that no settings are in force");
    back_ends.apply_settings(&settings(1));
    assert!(back_ends.has_applied_settings());
}
