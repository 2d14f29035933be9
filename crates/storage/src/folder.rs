//! A real folder, through the standard library.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::Read;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

use crate::disk::{Disk, DiskError};

const LOCK_FILE: &str = "lock";

/// Most files kept open; the log writes to two at a time.
const MAX_OPEN_FILES: usize = 8;

/// A folder on a real disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: HashMap<String, File>,
    lock: Option<File>,
    /// Whether the number of a file tells it from a copy.
    numbers_files: bool,
}

impl Folder {
    /// Uses the folder at `path`, which is made if it isn't there.
    ///
    /// # Errors
    /// Fails when the folder can't be made.
    pub fn new(path: impl Into<PathBuf>) -> Result<Self, DiskError> {
        let path = path.into();
        make_durably(&path).map_err(|error| DiskError::io("create", ".", error))?;
        Ok(Folder { path, open: HashMap::new(), lock: None, numbers_files: true })
    }

    /// On a file system whose numbers of files change by themselves, a copied
    /// folder can't be told from the original.
    pub fn without_file_numbers(mut self) -> Self {
        self.numbers_files = false;
        self
    }

    /// Where the folder is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn file(&mut self, name: &str) -> Result<&File, DiskError> {
        if !self.open.contains_key(name) {
            let path = self.path.join(name);
            let opened = OpenOptions::new().read(true).write(true).open(path);
            self.keep_open(name, opened.map_err(|error| DiskError::io("open", name, error))?);
        }
        Ok(&self.open[name])
    }

    fn keep_open(&mut self, name: &str, file: File) {
        if self.open.len() >= MAX_OPEN_FILES {
            self.open.clear();
        }
        self.open.insert(name.to_owned(), file);
    }
}

/// Makes the folder if it isn't there, and syncs its name: after a power cut a
/// folder that was lost would look like a disk that was never used.
fn make_durably(path: &Path) -> std::io::Result<()> {
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
        let made = options.open(self.path.join(file));
        let made = made.map_err(|error| DiskError::io("create", file, error))?;
        self.keep_open(file, made);
        Ok(())
    }

    fn write_at(&mut self, file: &str, offset: u64, data: &[u8]) -> Result<(), DiskError> {
        let written = self.file(file)?.write_all_at(data, offset);
        written.map_err(|error| DiskError::io("write", file, error))
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError> {
        let cut = self.file(file)?.set_len(length);
        cut.map_err(|error| DiskError::io("truncate", file, error))
    }

    fn sync(&mut self, file: &str) -> Result<(), DiskError> {
        let synced = self.file(file)?.sync_data();
        synced.map_err(|error| DiskError::io("sync", file, error))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
            .map_err(|error| DiskError::io("rename", from, error))
    }

    fn remove(&mut self, file: &str) -> Result<(), DiskError> {
        self.open.remove(file);
        fs::remove_file(self.path.join(file)).map_err(|error| DiskError::io("remove", file, error))
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        let synced = File::open(&self.path).and_then(|folder| folder.sync_all());
        synced.map_err(|error| DiskError::io("sync", ".", error))
    }

    fn file_number(&mut self, file: &str) -> Result<u64, DiskError> {
        if !self.numbers_files {
            return Ok(0);
        }
        let metadata = fs::metadata(self.path.join(file));
        metadata.map(|m| m.ino()).map_err(|error| DiskError::io("stat", file, error))
    }
}
