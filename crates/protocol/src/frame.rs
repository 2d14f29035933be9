//! Length-delimited frames: four bytes of length, one byte of version, the payload.

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the message encoding; a peer with another one is turned away.
pub const PROTOCOL_VERSION: u8 = 1;

/// Largest accepted payload, in bytes. It bounds what a peer can make a daemon allocate.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Bytes in front of a payload: its length and the version.
pub const FRAME_HEADER_BYTES: usize = 5;

/// Bytes reserved up front for a payload; a larger one grows as its bytes arrive.
const FIRST_ALLOCATION_BYTES: usize = 64 << 10;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed or ended inside a frame.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The peer's system did not answer the opening of a connection.
    #[error("nobody answers the opening of a connection")]
    Unanswered,
    /// The peer closed the connection between two frames.
    #[error("connection closed by the peer")]
    Closed,
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is longer than {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The peer speaks another version.
    #[error("peer speaks protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u8),
    /// The payload is not a valid message.
    #[error("malformed message: {0}")]
    Malformed(#[from] minicbor::decode::Error),
}

/// Reads one payload.
pub async fn read_frame<R: AsyncRead + Unpin>(reader: &mut R) -> Result<Vec<u8>, FrameError> {
    let mut header = [0; FRAME_HEADER_BYTES];
    match reader.read(&mut header[..1]).await? {
        0 => return Err(FrameError::Closed),
        _ => reader.read_exact(&mut header[1..]).await?,
    };
    let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if header[4] != PROTOCOL_VERSION {
        return Err(FrameError::Version(header[4]));
    }
    let mut payload = Vec::with_capacity(length.min(FIRST_ALLOCATION_BYTES));
    let read = reader.take(length as u64).read_to_end(&mut payload).await?;
    if read < length {
        return Err(FrameError::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(payload)
}

/// Writes one payload as a frame and flushes it.
pub async fn write_frame<W: AsyncWrite + Unpin>(
    writer: &mut W,
    payload: &[u8],
) -> Result<(), FrameError> {
    if payload.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(payload.len()));
    }
    let mut frame = Vec::with_capacity(payload.len() + FRAME_HEADER_BYTES);
    frame.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    frame.push(PROTOCOL_VERSION);
    frame.extend_from_slice(payload);
    writer.write_all(&frame).await?;
    writer.flush().await?;
    Ok(())
}
