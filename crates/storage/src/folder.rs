//! [`Disk`] implementation on a folder of the file system.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::Read;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

use crate::disk::{Disk, DiskError};

const LOCK_FILE: &str = "lock";

/// Maximum number of cached file handles. The log writes to two files at a time.
const MAX_OPEN_FILES: usize = 8;

/// Data folder on a file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open_files: HashMap<String, File>,
    lock: Option<File>,
    /// Whether inode numbers are stable, so that they distinguish a file from a copy.
    has_stable_inodes: bool,
}

impl Folder {
    /// Uses the folder at `path`, creating it if it doesn't exist.
    ///
    /// # Errors
    /// Fails when the folder can't be created.
    pub fn new(path: impl Into<PathBuf>) -> Result<Self, DiskError> {
        let path = path.into();
        create_durably(&path).map_err(|error| DiskError::io("create", ".", error))?;
        Ok(Folder { path, open_files: HashMap::new(), lock: None, has_stable_inodes: true })
    }

    /// Disables inode numbers, for file systems on which they aren't stable. A copied
    /// folder is then not detected.
    pub fn without_stable_inodes(mut self) -> Self {
        self.has_stable_inodes = false;
        self
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn open_file(&mut self, name: &str) -> Result<&File, DiskError> {
        if !self.open_files.contains_key(name) {
            let path = self.path.join(name);
            let opened = OpenOptions::new().read(true).write(true).open(path);
            self.cache_file(name, opened.map_err(|error| DiskError::io("open", name, error))?);
        }
        Ok(&self.open_files[name])
    }

    fn cache_file(&mut self, name: &str, file: File) {
        if self.open_files.len() >= MAX_OPEN_FILES {
            self.open_files.clear();
        }
        self.open_files.insert(name.to_owned(), file);
    }
}

/// Creates the folder if it doesn't exist and syncs its parent. Without the sync, a
/// folder lost in a power failure would look like a new, unused disk.
fn create_durably(path: &Path) -> std::io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(path)?;
    match path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}

impl Disk for Folder {
    fn lock(&mut self) -> Result<(), DiskError> {
        if self.lock.is_some() {
            return Ok(());
        }
        let path = self.path.join(LOCK_FILE);
        let file = File::create(path).map_err(|error| DiskError::io("create", LOCK_FILE, error))?;
        match file.try_lock() {
            Ok(()) => self.lock = Some(file),
            Err(TryLockError::WouldBlock) => return Err(DiskError::Locked),
            Err(TryLockError::Error(error)) => return Err(DiskError::io("lock", LOCK_FILE, error)),
        }
        Ok(())
    }

    fn list(&mut self) -> Result<Vec<String>, DiskError> {
        let failed = |error| DiskError::io("list", ".", error);
        let entries = fs::read_dir(&self.path).map_err(failed)?;
        let name = |entry: std::io::Result<fs::DirEntry>| {
            entry.map(|entry| entry.file_name().to_string_lossy().into_owned())
        };
        entries.map(|entry| name(entry).map_err(failed)).collect()
    }

    fn read(&mut self, file: &str) -> Result<Vec<u8>, DiskError> {
        let mut content = Vec::new();
        let opened = File::open(self.path.join(file));
        opened
            .and_then(|mut opened| opened.read_to_end(&mut content))
            .map_err(|error| DiskError::io("read", file, error))?;
        Ok(content)
    }

    fn create(&mut self, file: &str) -> Result<(), DiskError> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(true);
        let created = options.open(self.path.join(file));
        let created = created.map_err(|error| DiskError::io("create", file, error))?;
        self.cache_file(file, created);
        Ok(())
    }

    fn write_at(&mut self, file: &str, offset: u64, data: &[u8]) -> Result<(), DiskError> {
        let written = self.open_file(file)?.write_all_at(data, offset);
        written.map_err(|error| DiskError::io("write", file, error))
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError> {
        let truncated = self.open_file(file)?.set_len(length);
        truncated.map_err(|error| DiskError::io("truncate", file, error))
    }

    fn sync(&mut self, file: &str) -> Result<(), DiskError> {
        let synced = self.open_file(file)?.sync_data();
        synced.map_err(|error| DiskError::io("sync", file, error))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
            .map_err(|error| DiskError::io("rename", from, error))
    }

    fn remove(&mut self, file: &str) -> Result<(), DiskError> {
        self.open_files.remove(file);
        fs::remove_file(self.path.join(file)).map_err(|error| DiskError::io("remove", file, error))
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        let synced = File::open(&self.path).and_then(|folder| folder.sync_all());
        synced.map_err(|error| DiskError::io("sync", ".", error))
    }

    fn inode(&mut self, file: &str) -> Result<u64, DiskError> {
        if !self.has_stable_inodes {
            return Ok(0);
        }
        let metadata = fs::metadata(self.path.join(file));
        metadata.map(|m| m.ino()).map_err(|error| DiskError::io("stat", file, error))
    }
}
