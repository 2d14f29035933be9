//! TCP proxy that simulates network partitions between processes.
//!
//! During a partition the proxy forwards no bytes, keeps open connections open
//! and accepts new ones without answering, so that both sides observe packet
//! loss rather than closed connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the forwarding buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Directions in which a link forwards bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Both directions.
    #[default]
    Whole,
    /// No direction.
    Cut,
    /// Only from the connecting side; answers are lost.
    AnswersLost,
}

impl LinkState {
    fn forwards(self, direction: Direction) -> bool {
        match self {
            LinkState::Whole => true,
            LinkState::Cut => false,
            LinkState::AnswersLost => direction == Direction::ToTarget,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// From the connecting side to the target.
    ToTarget,
    /// From the target to the connecting side.
    FromTarget,
}

/// Proxied link that can be partitioned; stops accepting connections when dropped.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy to `target` on a free port. Requires a Tokio runtime.
    ///
    /// # Errors
    /// Fails when no port can be listened on.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (state, _) = watch::channel(LinkState::Whole);
        let state = Arc::new(state);
        let task = tokio::spawn(accept(listener, target, Arc::clone(&state)));
        Ok(LinkProxy { address, state, task })
    }

    /// Address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the directions in which the link forwards bytes.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<watch::Sender<LinkState>>) {
    while let Ok((near, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let mut watched = state.subscribe();
            // A connection accepted during a partition stalls until the partition is healed.
            if watched.wait_for(|state| *state != LinkState::Cut).await.is_err() {
                return;
            }
            if let Ok(far) = TcpStream::connect(target).await {
                forward_both(near, far, &state).await;
            }
        });
    }
}

async fn forward_both(near: TcpStream, far: TcpStream, state: &watch::Sender<LinkState>) {
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        forward(near_read, far_write, Direction::ToTarget, state.subscribe()),
        forward(far_read, near_write, Direction::FromTarget, state.subscribe()),
    );
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        if state.wait_for(|state| state.forwards(direction)).await.is_err() {
            return;
        }
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = state.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let length = match read {
            Ok(length) if length > 0 => length,
            _ => return,
        };
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
