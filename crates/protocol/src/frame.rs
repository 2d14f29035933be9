//! Length-delimited frames: payload length (4 bytes, big-endian), protocol version (1 byte),
//! payload.

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the message encoding; peers with another version are rejected.
pub const PROTOCOL_VERSION: u8 = 1;

/// Largest accepted payload, in bytes; bounds the memory that a peer can make a daemon allocate.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Length of a frame header, in bytes.
pub const FRAME_HEADER_BYTES: usize = 5;

/// Initial capacity of a payload buffer, in bytes. The buffer of a larger payload grows as bytes
/// arrive, so that a header alone can't cause a large allocation.
const INITIAL_CAPACITY_BYTES: usize = 64 << 10;

/// Error in reading or writing a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed or ended within a frame.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The peer's system did not accept the connection in time.
    #[error("connection setup timed out")]
    ConnectTimeout,
    /// The peer closed the connection between frames.
    #[error("connection closed by the peer")]
    Closed,
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The peer uses another protocol version.
    #[error("peer uses protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u8),
    /// The payload is not a valid message.
    #[error("malformed message: {0}")]
    Malformed(#[from] minicbor::decode::Error),
}

/// Reads one frame and returns the payload.
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
    let mut payload = Vec::with_capacity(length.min(INITIAL_CAPACITY_BYTES));
    let read = reader.take(length as u64).read_to_end(&mut payload).await?;
    if read < length {
        return Err(FrameError::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(payload)
}

/// Writes `payload` as one frame and flushes the writer.
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
