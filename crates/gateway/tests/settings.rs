//! Limits that a gateway derives from its settings.

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
        grace_period: Duration::from_secs(8),
        link_bytes_per_second: None,
        machine: Default::default(),
    }
}

/// Requests sent to servers with old weights may queue there, but must start within the bound.
#[test]
fn requests_to_servers_with_old_weights_have_time_to_queue() {
    for seconds in [8, 10, 12] {
        let within = Duration::from_secs(seconds);
        let last = settings(within).strict_weights_after();
        assert!(within - last >= Duration::from_millis(2_500), "{seconds} s: {last:?}");
    }
}

#[test]
fn a_short_bound_leaves_half_of_it_for_requests_in_the_queue() {
    let last = settings(Duration::from_secs(3)).strict_weights_after();
    assert_eq!(last, Duration::from_millis(1_500));
}
