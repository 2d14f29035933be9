//! Timeouts by which the system notices that the peer of a TCP connection is gone.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Timeouts of a connection.
///
/// On Linux, a user timeout also decides when keepalive probes give up, whatever their number: the
/// connection ends at the first probe that is due after the user timeout, counted from the last
/// packet received, provided that one probe was sent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// Time without an acknowledgement of sent data after which the connection ends.
    pub unacknowledged: Duration,
    /// Idle time before the first keepalive probe, and interval between probes; at least a second.
    pub keepalive_interval: Duration,
    /// Number of unanswered probes after which the connection ends, unless `unacknowledged` ends it
    /// before.
    pub keepalive_probes: u32,
}

impl PeerTimeouts {
    /// Timeouts of connections to servers. A sound server may be silent for 1.5 s and then go on:
    /// retransmissions, after 0.2, 0.6, 1.4 and 3 s, and probes have to go on for longer than that.
    pub const SERVER: PeerTimeouts = PeerTimeouts {
        unacknowledged: Duration::from_millis(3_500),
        keepalive_interval: Duration::from_secs(1),
        keepalive_probes: 3,
    };

    /// Sets the timeouts of a connection.
    ///
    /// # Errors
    /// Fails if the system rejects them.
    pub fn apply(&self, stream: &TcpStream) -> io::Result<()> {
        let socket = SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(self.unacknowledged))?;
        let probes = TcpKeepalive::new()
            .with_time(self.keepalive_interval)
            .with_interval(self.keepalive_interval);
        socket.set_tcp_keepalive(&probes.with_retries(self.keepalive_probes))
    }

    /// Time after the last received packet at which a connection without data in flight ends, if the
    /// peer stays silent.
    pub fn idle_limit(&self) -> Duration {
        let by_count = self.keepalive_interval * (self.keepalive_probes + 1);
        let probes_before_timeout =
            self.unacknowledged.as_nanos().div_ceil(self.keepalive_interval.as_nanos());
        let probes_before_timeout = u32::try_from(probes_before_timeout).unwrap_or(u32::MAX);
        by_count.min(self.keepalive_interval * probes_before_timeout.max(2))
    }
}
