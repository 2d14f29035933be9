//! What can go wrong with a data folder.

use juniper_types::NodeId;

use crate::disk::DiskError;

/// Why a data folder can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The folder has not been formatted.
    #[error("the data folder is not formatted")]
    NotFormatted,
    /// The folder belongs to another node.
    #[error("the data folder belongs to {found}, not to {expected}")]
    WrongNode {
        /// Whose folder it is.
        found: NodeId,
        /// Whose it should be.
        expected: NodeId,
    },
    /// The folder is a copy of another one, whose replica may be alive and have
    /// made promises since. It counts as a lost disk.
    #[error("the data folder is a copy; it has to be wiped and join as a new disk")]
    Copied,
    /// Something that was synced can't be read back. It counts as a lost disk.
    #[error("synced data in {file} is damaged at byte {offset}: {kind}")]
    Damaged {
        /// The file.
        file: String,
        /// Where in the file.
        offset: u64,
        /// What is wrong.
        kind: Damage,
    },
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
}

/// How synced data is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// A checksum doesn't match, and later data proves that this part was synced.
    #[error("wrong checksum")]
    Checksum,
    /// The file is shorter than what was synced.
    #[error("the end is missing")]
    Missing,
    /// The checksum matches but the content makes no sense.
    #[error("malformed content")]
    Malformed,
    /// A file, or entries that no file holds, are missing.
    #[error("a gap in the log")]
    Gap,
}

/// Why a folder can't be formatted.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// The folder holds a replica's data already.
    #[error("the data folder is in use already")]
    NotEmpty,
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
}

/// Why data was not made durable.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The disk failed; full disks are among the causes. Nothing more is written.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// An earlier operation failed. What it left on the disk is unknown, so nothing
    /// can be acknowledged until the folder is opened anew.
    #[error("storage stopped after an earlier failure")]
    Stopped,
}
