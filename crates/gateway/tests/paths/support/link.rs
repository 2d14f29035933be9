//! Network path from one router to one server, which can be cut.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniper_loopback::unused_address;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Time after which the system of a real machine ends connections over a silent path.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_500);

/// State of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Open,
    /// Nothing gets through, and nothing is answered.
    Silent,
    /// New connections aren't answered; established ones live on.
    SilentToNew,
    /// Established connections are reset, new ones refused.
    Reset,
    /// New connections are refused; established ones live on.
    Refusing,
}

/// A path, as a proxy on loopback.
pub struct Link {
    pub address: SocketAddrV4,
    target: Arc<Mutex<SocketAddrV4>>,
    state: Arc<watch::Sender<LinkState>>,
}

fn reusable_socket(address: SocketAddrV4) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("set");
    socket.set_nonblocking(true).expect("set");
    socket.bind(&SocketAddr::V4(address).into()).expect("a free port");
    socket
}

fn open_listener(address: SocketAddrV4) -> TcpListener {
    let socket = reusable_socket(address);
    socket.listen(128).expect("listening");
    TcpListener::from_std(socket.into()).expect("a listener")
}

/// A listener that answers no connection attempt, with the sockets that have to be kept open.
pub fn silent_listener(address: SocketAddrV4) -> (SocketAddrV4, Vec<Socket>) {
    let listener = reusable_socket(address);
    let address = listener.local_addr().expect("bound").as_socket_ipv4().expect("IPv4");
    listener.listen(0).expect("listening");
    // The queue of unaccepted connections is full after these.
    let queued = (0..3).map(|_| {
        let queued = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        queued.set_nonblocking(true).expect("set");
        // Completes in the background.
        let _ = queued.connect(&SocketAddr::V4(address).into());
        queued
    });
    let queued: Vec<Socket> = queued.collect();
    (address, queued.into_iter().chain([listener]).collect())
}

impl Link {
    /// Opens a path to `target`.
    pub fn open(target: SocketAddrV4) -> Self {
        // Of its own host: while the path refuses connections, no other process may take its port.
        let SocketAddr::V4(address) = unused_address() else { panic!("IPv4") };
        let listener = open_listener(address);
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let target = Arc::new(Mutex::new(target));
        tokio::spawn(run(address, listener, Arc::clone(&target), Arc::clone(&state)));
        Link { address, target, state }
    }

    /// Leads new connections to another target.
    pub fn redirect(&self, target: SocketAddrV4) {
        *self.target.lock().expect("not poisoned") = target;
    }

    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn run(
    address: SocketAddrV4,
    first: TcpListener,
    target: Arc<Mutex<SocketAddrV4>>,
    state: Arc<watch::Sender<LinkState>>,
) {
    let mut changes = state.subscribe();
    let mut listener = Some(first);
    loop {
        let current = *changes.borrow_and_update();
        let silent = match current {
            LinkState::Open => {
                let listener = listener.take().unwrap_or_else(|| open_listener(address));
                tokio::select! {
                    () = accept_all(&listener, &target, &state) => {}
                    _ = changes.changed() => {}
                }
                continue;
            }
            LinkState::Silent | LinkState::SilentToNew => Some(silent_listener(address)),
            LinkState::Reset | LinkState::Refusing => None,
        };
        if changes.changed().await.is_err() {
            return;
        }
        drop(silent);
    }
}

async fn accept_all(
    listener: &TcpListener,
    target: &Mutex<SocketAddrV4>,
    state: &Arc<watch::Sender<LinkState>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let target = *target.lock().expect("not poisoned");
        tokio::spawn(forward(stream, target, state.subscribe()));
    }
}

async fn forward(
    mut router: TcpStream,
    target: SocketAddrV4,
    mut changes: watch::Receiver<LinkState>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else { return };
    let is_cut = |state: &LinkState| matches!(state, LinkState::Silent | LinkState::Reset);
    let cut = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut router, &mut server) => return,
        cut = changes.wait_for(is_cut) => cut.map(|state| *state),
    };
    if let Ok(LinkState::Silent) = cut {
        sleep(SILENCE_LIMIT).await;
    }
    // Without it the connection would be closed in order.
    let _ = socket2::SockRef::from(&router).set_linger(Some(Duration::ZERO));
}
