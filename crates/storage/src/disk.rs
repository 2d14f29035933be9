//! The few file operations that storage needs, so that a simulator can stand in for the disk.

use std::io;

/// Why a file operation failed.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The operating system reported an error.
    #[error("{operation} {file}: {source}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// The file, or `.` for the folder.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// Another process has the folder open.
    #[error("the data folder is in use by another process")]
    Locked,
}

impl DiskError {
    /// An I/O error with what was tried.
    pub fn io(operation: &'static str, file: &str, source: io::Error) -> Self {
        DiskError::Io { operation, file: file.to_owned(), source }
    }
}

/// One flat folder of files.
///
/// What was written is certain to survive a power cut only after `sync` of the
/// file, and a new, renamed or removed name only after `sync_folder`. Until
/// then any part of it may be there or not.
pub trait Disk {
    /// Takes the folder for this process, until the disk is dropped.
    ///
    /// # Errors
    /// Fails when another process has it or the lock can't be made.
    fn lock(&mut self) -> Result<(), DiskError>;
    /// Names of all files.
    ///
    /// # Errors
    /// Fails when the folder can't be read.
    fn list(&mut self) -> Result<Vec<String>, DiskError>;
    /// The whole content of a file.
    ///
    /// # Errors
    /// Fails when the file can't be read.
    fn read(&mut self, file: &str) -> Result<Vec<u8>, DiskError>;
    /// Makes an empty file, or empties an existing one.
    ///
    /// # Errors
    /// Fails when the file can't be made.
    fn create(&mut self, file: &str) -> Result<(), DiskError>;
    /// Writes at an offset; a write at the end makes the file longer.
    ///
    /// # Errors
    /// Fails when not all could be written; some of it may have been.
    fn write_at(&mut self, file: &str, offset: u64, data: &[u8]) -> Result<(), DiskError>;
    /// Cuts a file to `length` bytes.
    ///
    /// # Errors
    /// Fails when the file can't be cut.
    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError>;
    /// Makes a file's content durable.
    ///
    /// # Errors
    /// Fails when that isn't certain. What was written may be gone, and a second
    /// call proves nothing.
    fn sync(&mut self, file: &str) -> Result<(), DiskError>;
    /// Renames a file, replacing one that has the new name.
    ///
    /// # Errors
    /// Fails when the file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError>;
    /// Removes a file.
    ///
    /// # Errors
    /// Fails when the file can't be removed.
    fn remove(&mut self, file: &str) -> Result<(), DiskError>;
    /// Makes names made, changed and removed durable.
    ///
    /// # Errors
    /// Fails when that isn't certain.
    fn sync_folder(&mut self) -> Result<(), DiskError>;
    /// A number that stays with the file and differs in a copy (the inode).
    ///
    /// # Errors
    /// Fails when the file isn't there.
    fn file_number(&mut self, file: &str) -> Result<u64, DiskError>;
}
