//! Timeouts of connections: a silent peer that goes on must not be cut off.

use std::time::Duration;

use juniper_protocol::PeerTimeouts;

/// Longest silence of a sound server.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Times of Linux's retransmissions after the first transmission, in milliseconds, with a round trip
/// of a few milliseconds.
const RETRANSMISSIONS_MS: [u64; 5] = [200, 600, 1_400, 3_000, 6_200];

/// Guards against a connection that ends while its server is silent for 1.5 s.
#[test]
fn unacknowledged_data_outlasts_a_silence() {
    let unacknowledged = PeerTimeouts::SERVER.unacknowledged;
    let answered = RETRANSMISSIONS_MS.into_iter().map(Duration::from_millis);
    let answered = answered.into_iter().find(|sent| *sent > SILENCE).expect("one of them");
    assert!(answered < unacknowledged, "{answered:?} is too late for {unacknowledged:?}");
}

/// Guards against keepalive probes that give up before one is sent after the silence.
#[test]
fn keepalive_probes_outlast_a_silence() {
    let timeouts = PeerTimeouts::SERVER;
    let (interval, limit) = (timeouts.keepalive_interval, timeouts.idle_limit());
    for start_ms in 0..=interval.as_millis() as u64 {
        let end = Duration::from_millis(start_ms) + SILENCE;
        let mut probe = interval;
        while probe < end {
            probe += interval;
        }
        assert!(probe < limit, "a silence from {start_ms} ms ends before {limit:?}");
    }
}

#[test]
fn the_user_timeout_ends_an_idle_connection_before_the_number_of_probes() {
    let timeouts = PeerTimeouts {
        unacknowledged: Duration::from_millis(1_500),
        keepalive_interval: Duration::from_secs(1),
        keepalive_probes: 5,
    };
    assert_eq!(timeouts.idle_limit(), Duration::from_secs(2));
}

#[test]
fn a_dead_server_is_noticed_within_four_seconds() {
    assert!(PeerTimeouts::SERVER.idle_limit() <= Duration::from_secs(4));
}
