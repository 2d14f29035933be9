//! Addresses are unused, stay so while nobody listens, and are never handed out twice.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use juniper_loopback::unused_address;

/// Least port that Linux gives to outgoing connections.
const FIRST_OUTGOING_PORT: u16 = 32_768;

#[test]
fn addresses_differ_and_can_be_bound_again_after_connections_were_made() {
    let addresses: BTreeSet<SocketAddr> = (0..600).map(|_| unused_address()).collect();
    assert_eq!(addresses.len(), 600);
    for address in &addresses {
        assert!(address.ip().is_loopback(), "{address}");
        assert!(address.port() < FIRST_OUTGOING_PORT, "{address}");
        let listener = TcpListener::bind(address).expect("free for TCP");
        let _socket = UdpSocket::bind(address).expect("free for UDP");
        let caller = std::net::TcpStream::connect(address).expect("it listens");
        let _accepted = listener.accept().expect("the caller");
        drop((listener, caller));
        TcpListener::bind(address).expect("free again, beside a connection that has ended");
    }
}
