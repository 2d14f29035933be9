//! A TCP proxy that cuts links between processes.
//!
//! While the link is cut the proxy neither passes on bytes nor closes what is
//! open, and takes new connections without an answer: to both sides it looks as
//! if the packets were lost.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes passed on at once.
const PIECE_BYTES: usize = 16 << 10;

/// Which directions of a link pass bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Both.
    #[default]
    Whole,
    /// None.
    Cut,
    /// Only from the one that connected; answers are lost.
    AnswersLost,
}

impl LinkState {
    fn passes(self, direction: Direction) -> bool {
        match self {
            LinkState::Whole => true,
            LinkState::Cut => false,
            LinkState::AnswersLost => direction == Direction::Forth,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// From the one that connected.
    Forth,
    /// Towards the one that connected.
    Back,
}

/// A link that can be cut. It closes when dropped.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy to `target` on a free port. Must be called within a runtime.
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

    /// Where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or mends the link.
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
            // A connection that begins while the link is cut hangs until it is mended.
            if watched.wait_for(|state| *state != LinkState::Cut).await.is_err() {
                return;
            }
            if let Ok(far) = TcpStream::connect(target).await {
                join(near, far, &state).await;
            }
        });
    }
}

async fn join(near: TcpStream, far: TcpStream, state: &watch::Sender<LinkState>) {
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pass_on(near_read, far_write, Direction::Forth, state.subscribe()),
        pass_on(far_read, near_write, Direction::Back, state.subscribe()),
    );
}

async fn pass_on(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        if state.wait_for(|state| state.passes(direction)).await.is_err() {
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
