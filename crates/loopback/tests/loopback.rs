//! Addresses are unique and can be bound again after use.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use juniper_loopback::unused_address;

/// First port of Linux's ephemeral range, used for outgoing connections.
const FIRST_EPHEMERAL_PORT: u16 = 32_768;

#[test]
fn addresses_are_unique_and_can_be_rebound_after_connections() {
    let addresses: BTreeSet<SocketAddr> = (0..600).map(|_| unused_address()).collect();
    assert_eq!(addresses.len(), 600);
    for address in &addresses {
        assert!(address.ip().is_loopback(), "{address}");
        assert!(address.port() < FIRST_EPHEMERAL_PORT, "{address}");
        let listener = TcpListener::bind(address).expect("free for TCP");
        let _socket = UdpSocket::bind(address).expect("free for UDP");
        let client = std::net::TcpStream::connect(address).expect("listener accepts");
        let _accepted = listener.accept().expect("pending connection");
        drop((listener, client));
        TcpListener::bind(address).expect("free again after a closed connection");
    }
}
