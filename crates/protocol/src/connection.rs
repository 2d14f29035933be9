//! Authenticated connections: a handshake, then typed messages both ways.

use std::net::SocketAddr;

use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::frame::{FRAME_HEADER_BYTES, FrameError, read_frame, write_frame};
use crate::handshake::{ClusterKey, HandshakeError, PeerIdentity, as_acceptor, as_connector};
use crate::message::{Message, encode};

/// A connection whose peer has proved the cluster key.
#[derive(Debug)]
pub struct Connection {
    /// Who the peer is.
    pub peer: PeerIdentity,
    /// Messages from the peer.
    pub reader: FrameReader,
    /// Messages to the peer.
    pub writer: FrameWriter,
}

/// The receiving half.
#[derive(Debug)]
pub struct FrameReader(BufReader<OwnedReadHalf>);

impl FrameReader {
    /// Waits for the next message.
    pub async fn receive(&mut self) -> Result<Message, FrameError> {
        let payload = read_frame(&mut self.0).await?;
        Ok(minicbor::decode(&payload)?)
    }
}

/// The sending half.
#[derive(Debug)]
pub struct FrameWriter(OwnedWriteHalf);

impl FrameWriter {
    /// Sends one message and returns the bytes it took on the wire.
    pub async fn send(&mut self, message: &Message) -> Result<usize, FrameError> {
        self.send_encoded(&encode(message)).await
    }

    /// Sends a message that was encoded before, so that one sent to many is
    /// encoded once. Returns the bytes it took on the wire.
    pub async fn send_encoded(&mut self, payload: &[u8]) -> Result<usize, FrameError> {
        write_frame(&mut self.0, payload).await?;
        Ok(payload.len() + FRAME_HEADER_BYTES)
    }
}

fn split(stream: TcpStream, peer: PeerIdentity) -> Connection {
    let (reader, writer) = stream.into_split();
    Connection { peer, reader: FrameReader(BufReader::new(reader)), writer: FrameWriter(writer) }
}

/// Opens a connection to `address` and runs the handshake.
pub async fn connect(
    address: SocketAddr,
    key: &ClusterKey,
    own: &PeerIdentity,
) -> Result<Connection, HandshakeError> {
    let mut stream = TcpStream::connect(address).await.map_err(FrameError::from)?;
    stream.set_nodelay(true).map_err(FrameError::from)?;
    let peer = as_connector(&mut stream, key, own).await?;
    Ok(split(stream, peer))
}

/// Runs the handshake on an accepted `stream`.
pub async fn accept(
    mut stream: TcpStream,
    key: &ClusterKey,
    own: &PeerIdentity,
) -> Result<Connection, HandshakeError> {
    stream.set_nodelay(true).map_err(FrameError::from)?;
    let peer = as_acceptor(&mut stream, key, own).await?;
    Ok(split(stream, peer))
}
