//! Authenticated connections that carry typed messages in both directions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::frame::{FRAME_HEADER_BYTES, FrameError, read_frame, write_frame};
use crate::handshake::{
    AuthenticatedPeer, BuildLevel, ClusterKey, HandshakeError, PeerIdentity, as_acceptor,
    as_connector,
};
use crate::message::{Message, decode_message, encode};

/// Bytes exchanged with other daemons. Prefix lookups are counted apart from control traffic, since
/// their volume depends on callers' requests.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    lookups: AtomicU64,
}

impl Traffic {
    /// Adds sent bytes of control traffic.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds received bytes of control traffic.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds bytes of lookups, sent or received.
    pub fn add_lookups(&self, bytes: usize) {
        self.lookups.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes of lookups sent and received since startup.
    pub fn lookups(&self) -> u64 {
        self.lookups.load(Ordering::Relaxed)
    }

    /// Bytes of control traffic sent since startup.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes of control traffic received since startup.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Connection to an authenticated peer.
#[derive(Debug)]
pub struct Connection {
    /// Identity of the peer.
    pub peer: PeerIdentity,
    /// Build level of the peer.
    pub level: BuildLevel,
    /// Receiving half.
    pub reader: FrameReader,
    /// Sending half.
    pub writer: FrameWriter,
}

impl Connection {
    /// Ends the exchange of frames and returns the stream, for a protocol without frames.
    ///
    /// # Errors
    /// Fails if the peer has sent more than the frames received so far.
    pub fn into_stream(self) -> Result<TcpStream, FrameError> {
        if !self.reader.stream.buffer().is_empty() {
            return Err(FrameError::Io(std::io::ErrorKind::InvalidData.into()));
        }
        let reader = self.reader.stream.into_inner();
        let stream = reader.reunite(self.writer.stream);
        stream.map_err(|_| FrameError::Io(std::io::ErrorKind::InvalidInput.into()))
    }

    /// Adds all later frames, headers included, to `traffic`.
    pub fn count_traffic_in(&mut self, traffic: &Arc<Traffic>) {
        self.reader.traffic = Some(Arc::clone(traffic));
        self.writer.traffic = Some(Arc::clone(traffic));
    }
}

/// Receiving half of a connection.
#[derive(Debug)]
pub struct FrameReader {
    stream: BufReader<OwnedReadHalf>,
    traffic: Option<Arc<Traffic>>,
}

impl FrameReader {
    /// Receives the next message.
    pub async fn receive(&mut self) -> Result<Message, FrameError> {
        let payload = read_frame(&mut self.stream).await?;
        let message = decode_message(&payload)?;
        if let Some(traffic) = &self.traffic {
            let bytes = payload.len() + FRAME_HEADER_BYTES;
            match message.is_lookup() {
                true => traffic.add_lookups(bytes),
                false => traffic.add_received(bytes),
            }
        }
        Ok(message)
    }
}

/// Sending half of a connection.
#[derive(Debug)]
pub struct FrameWriter {
    stream: OwnedWriteHalf,
    traffic: Option<Arc<Traffic>>,
}

impl FrameWriter {
    /// Sends a message and returns its size on the wire, in bytes.
    pub async fn send(&mut self, message: &Message) -> Result<usize, FrameError> {
        let bytes = self.write(&encode(message)).await?;
        if let Some(traffic) = &self.traffic {
            match message.is_lookup() {
                true => traffic.add_lookups(bytes),
                false => traffic.add_sent(bytes),
            }
        }
        Ok(bytes)
    }

    /// Sends an encoded message, so that a broadcast is encoded only once. Returns the size on the
    /// wire, in bytes.
    pub async fn send_encoded(&mut self, payload: &[u8]) -> Result<usize, FrameError> {
        let bytes = self.write(payload).await?;
        if let Some(traffic) = &self.traffic {
            traffic.add_sent(bytes);
        }
        Ok(bytes)
    }

    async fn write(&mut self, payload: &[u8]) -> Result<usize, FrameError> {
        write_frame(&mut self.stream, payload).await?;
        Ok(payload.len() + FRAME_HEADER_BYTES)
    }
}

fn split_connection(
    stream: TcpStream,
    AuthenticatedPeer { identity: peer, level }: AuthenticatedPeer,
) -> Connection {
    let (reader, writer) = stream.into_split();
    let reader = FrameReader { stream: BufReader::new(reader), traffic: None };
    let writer = FrameWriter { stream: writer, traffic: None };
    Connection { peer, level, reader, writer }
}

/// Time after which a connection with unacknowledged data is closed. With the system's default, a
/// connection across a network partition would hang for minutes.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_800);

fn configure_socket(stream: &TcpStream) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(())
}

/// Timeout of TCP connection setup, which takes one round trip (16 ms between regions). The system
/// resends a lost SYN only after a second; a new attempt by the caller comes sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

async fn open_stream(address: SocketAddr) -> Result<TcpStream, FrameError> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(connected) => Ok(connected?),
        Err(_) => Err(FrameError::ConnectTimeout),
    }
}

/// Connects to `address` and runs the handshake.
pub async fn connect(
    address: SocketAddr,
    key: &ClusterKey,
    own: &PeerIdentity,
) -> Result<Connection, HandshakeError> {
    let mut stream = open_stream(address).await?;
    configure_socket(&stream)?;
    let peer = as_connector(&mut stream, key, own).await?;
    Ok(split_connection(stream, peer))
}

/// Runs the handshake on an accepted `stream`.
pub async fn accept(
    mut stream: TcpStream,
    key: &ClusterKey,
    own: &PeerIdentity,
) -> Result<Connection, HandshakeError> {
    configure_socket(&stream)?;
    let peer = as_acceptor(&mut stream, key, own).await?;
    Ok(split_connection(stream, peer))
}
