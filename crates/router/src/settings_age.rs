//! Age of the settings in force, on which depends whether requests are served by them.

use std::time::Duration;

use juniper_settings::{EffectiveSettings, PartitionPolicy};

/// Time without confirmation by a quorum after which a router counts as cut off from the control
/// replicas.
pub const CUT_OFF_AFTER: Duration = Duration::from_secs(5);

/// How long ago a quorum confirmed the settings in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsAge {
    /// Time since a quorum last confirmed that the settings are the latest.
    Confirmed(Duration),
    /// No quorum has confirmed them since this router started, this long ago. They may have been
    /// replaced before.
    Unconfirmed(Duration),
}

impl SettingsAge {
    /// Time since the settings were last known to be the latest, or since the start.
    pub fn at_least(self) -> Duration {
        match self {
            SettingsAge::Confirmed(age) | SettingsAge::Unconfirmed(age) => age,
        }
    }

    /// Whether requests may be served by these settings.
    pub fn allows(self, settings: &EffectiveSettings) -> bool {
        let is_cut_off = match self {
            SettingsAge::Confirmed(age) => age > CUT_OFF_AFTER,
            SettingsAge::Unconfirmed(_) => true,
        };
        let is_refused = settings.cut_off == PartitionPolicy::Refuse && is_cut_off;
        !is_refused && self.at_least().as_secs() <= settings.max_settings_age_seconds
    }
}
