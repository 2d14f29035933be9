//! Bounds that a gateway works out from its settings.

use std::time::Duration;

use juniper_gateway::GatewaySettings;
use juniper_placement::RetrySettings;
use juniper_types::FingerprintKey;

fn settings(renew_within: Duration) -> GatewaySettings {
    GatewaySettings {
        node: "gateway".to_owned(),
        zone: "north".to_owned(),
        retry: RetrySettings { ratio: 1.0, free: 50.0, window: Duration::from_secs(10) },
        revoke_within: Duration::from_secs(5),
        renew_within,
        fingerprint_key: FingerprintKey::new([7; 32]),
        grace: Duration::from_secs(8),
    }
}

/// A request that was sent 8.1 s after new weights were named began after 10 s.
#[test]
fn what_is_sent_to_old_weights_has_time_to_wait_for_its_turn() {
    for seconds in [8, 10, 12] {
        let within = Duration::from_secs(seconds);
        let last = settings(within).strict_weights_after();
        assert!(within - last >= Duration::from_millis(2_500), "{seconds} s: {last:?}");
    }
}

#[test]
fn a_short_bound_leaves_half_of_it_for_the_rollout() {
    let last = settings(Duration::from_secs(3)).strict_weights_after();
    assert_eq!(last, Duration::from_millis(1_500));
}
