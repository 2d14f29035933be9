//! File operations that storage uses, as a trait that a simulated disk can implement.

use std::io;

/// Error of a file operation.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The operating system reported an error.
    #[error("{operation} {file}: {source}")]
    Io {
        /// Name of the failed operation, such as `create` or `sync`.
        operation: &'static str,
        /// File name, or `.` for the folder.
        file: String,
        /// Error reported by the operating system.
        source: io::Error,
    },
    /// Another process has the folder open.
    #[error("the data folder is in use by another process")]
    Locked,
}

impl DiskError {
    /// Creates a [`DiskError::Io`] from a failed operation and its file.
    pub fn io(operation: &'static str, file: &str, source: io::Error) -> Self {
        DiskError::Io { operation, file: file.to_owned(), source }
    }
}

/// One flat folder of files.
///
/// Written data is guaranteed to survive a power failure only after `sync` of the
/// file, and a created, renamed or removed name only after `sync_folder`. Before
/// that, any part of the change may or may not be on the disk.
pub trait Disk {
    /// Locks the folder for this process until the disk is dropped.
    ///
    /// # Errors
    /// Fails when another process holds the lock or the lock file can't be created.
    fn lock(&mut self) -> Result<(), DiskError>;
    /// Lists the names of all files.
    ///
    /// # Errors
    /// Fails when the folder can't be read.
    fn list(&mut self) -> Result<Vec<String>, DiskError>;
    /// Reads the whole content of a file.
    ///
    /// # Errors
    /// Fails when the file can't be read.
    fn read(&mut self, file: &str) -> Result<Vec<u8>, DiskError>;
    /// Creates an empty file or truncates an existing one.
    ///
    /// # Errors
    /// Fails when the file can't be created.
    fn create(&mut self, file: &str) -> Result<(), DiskError>;
    /// Writes `data` at `offset` in bytes, extending the file if needed.
    ///
    /// # Errors
    /// Fails when not all of `data` could be written; a part may have been.
    fn write_at(&mut self, file: &str, offset: u64, data: &[u8]) -> Result<(), DiskError>;
    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    /// Fails when the file can't be truncated.
    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError>;
    /// Makes a file's content durable.
    ///
    /// # Errors
    /// Fails when the sync fails. Written data may be lost, and a successful second
    /// call doesn't mean that it is durable.
    fn sync(&mut self, file: &str) -> Result<(), DiskError>;
    /// Renames a file, replacing an existing file of the new name.
    ///
    /// # Errors
    /// Fails when the file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError>;
    /// Removes a file.
    ///
    /// # Errors
    /// Fails when the file can't be removed.
    fn remove(&mut self, file: &str) -> Result<(), DiskError>;
    /// Makes created, renamed and removed file names durable.
    ///
    /// # Errors
    /// Fails when the sync fails.
    fn sync_folder(&mut self) -> Result<(), DiskError>;
    /// Returns the file's inode number, which differs in a copy.
    ///
    /// # Errors
    /// Fails when the file doesn't exist.
    fn inode(&mut self, file: &str) -> Result<u64, DiskError>;
}
