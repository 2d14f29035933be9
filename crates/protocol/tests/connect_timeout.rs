//! Timeout of connection setup.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use juniper_protocol::{ClusterKey, FrameError, HandshakeError, PeerIdentity, PeerRole, connect};
use juniper_types::{NodeId, ZoneName};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Less than the second after which the system resends a lost SYN.
const RESULT_TIMEOUT: Duration = Duration::from_millis(700);

/// Connection attempts that fill the accept queue of a listener with a backlog of one.
const QUEUED_ATTEMPTS: usize = 4;

/// At startup, peers may not answer yet; waiting for the system to resend a SYN would delay the node.
#[tokio::test]
async fn unanswered_connection_attempt_times_out_before_the_system_resends_the_syn() {
    let socket = TcpSocket::new_v4().expect("open a socket");
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a port");
    let listener = socket.listen(1).expect("listen");
    let address = listener.local_addr().expect("bound");
    // Connections are never accepted, so the system drops further attempts.
    let attempts = (0..QUEUED_ATTEMPTS).map(|_| tokio::spawn(TcpStream::connect(address)));
    let attempts: Vec<_> = attempts.collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let key = ClusterKey::from_text("a cluster key for tests").expect("long enough");
    let zone = ZoneName::new("north").expect("valid");
    let own = PeerIdentity { node: NodeId(1), role: PeerRole::Router, zone, incarnation: None };
    let result =
        timeout(RESULT_TIMEOUT, connect(address, &key, &own)).await.expect("connect times out");
    assert!(matches!(result, Err(HandshakeError::Frame(FrameError::ConnectTimeout))));
    attempts.iter().for_each(|attempt| attempt.abort());
}
