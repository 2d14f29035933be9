//! Errors of opening, formatting and writing a data folder.

use juniper_types::NodeId;

use crate::disk::DiskError;

/// Error when a data folder is opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The folder has not been formatted.
    #[error("the data folder is not formatted")]
    NotFormatted,
    /// The folder belongs to another node.
    #[error("the data folder belongs to {found}, not to {expected}")]
    WrongNode {
        /// Node that the folder belongs to.
        found: NodeId,
        /// Node that opened the folder.
        expected: NodeId,
    },
    /// The folder is a copy. The replica of the original may still run and have
    /// voted or acknowledged entries since, so the copy is treated as a lost disk.
    #[error("the data folder is a copy; it has to be wiped and join as a new disk")]
    Copied,
    /// Synced data can't be read back; the folder is treated as a lost disk.
    #[error("synced data in {file} is damaged at byte {offset}: {kind}")]
    Damaged {
        /// File name.
        file: String,
        /// Offset in the file, in bytes.
        offset: u64,
        /// Kind of damage.
        kind: Damage,
    },
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
}

/// Kind of damage to synced data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// A checksum doesn't match in a part that is known to have been synced.
    #[error("wrong checksum")]
    Checksum,
    /// The file is shorter than its synced length.
    #[error("the end is missing")]
    Missing,
    /// The checksum matches but the content is invalid.
    #[error("malformed content")]
    Malformed,
    /// A segment or a range of log entries is missing.
    #[error("a gap in the log")]
    Gap,
}

/// Error when a data folder is formatted.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// The folder already holds the data of a replica.
    #[error("the data folder is in use already")]
    NotEmpty,
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
}

/// Error when data is made durable.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The disk failed or is full. No further writes are accepted.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// An earlier operation failed and left the disk in an unknown state. Nothing can
    /// be acknowledged until the folder is opened again.
    #[error("storage stopped after an earlier failure")]
    Stopped,
}
