//! Opening a connection to a peer that does not answer.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use juniper_protocol::{ClusterKey, FrameError, HandshakeError, PeerIdentity, PeerRole, connect};
use juniper_types::{NodeId, ZoneName};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Less than the second after which the system sends a lost opening again.
const SOON: Duration = Duration::from_millis(700);

/// Openings that fill the queue of a listener that holds one.
const QUEUED: usize = 4;

/// A node that has just started meets machines that answer nothing yet. It must not wait
/// for the system's second try, since they may be up a moment later.
#[tokio::test]
async fn an_opening_that_nobody_answers_is_given_up_before_the_system_tries_again() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a port");
    let listener = socket.listen(1).expect("it listens");
    let address = listener.local_addr().expect("bound");
    // Nobody accepts, so the system drops every further opening.
    let openings = (0..QUEUED).map(|_| tokio::spawn(TcpStream::connect(address)));
    let openings: Vec<_> = openings.collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let key = ClusterKey::from_text("a cluster key for tests").expect("long enough");
    let zone = ZoneName::new("north").expect("valid");
    let own = PeerIdentity { node: NodeId(1), role: PeerRole::Router, zone };
    let opened = timeout(SOON, connect(address, &key, &own)).await.expect("it is given up");
    assert!(matches!(opened, Err(HandshakeError::Frame(FrameError::Unanswered))));
    openings.iter().for_each(|opening| opening.abort());
}
