//! Disk with injected faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use juniper_storage::{Disk, DiskError, Folder};

/// Folder whose syncs block while `stalled` is set and panic while `panics` is set.
pub struct FaultyDisk {
    pub folder: Folder,
    pub stalled: Arc<AtomicBool>,
    pub panics: Arc<AtomicBool>,
}

impl Disk for FaultyDisk {
    fn sync(&mut self, file: &str) -> Result<(), DiskError> {
        while self.stalled.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(!self.panics.load(Ordering::SeqCst), "injected panic");
        self.folder.sync(file)
    }

    fn lock(&mut self) -> Result<(), DiskError> {
        self.folder.lock()
    }

    fn list(&mut self) -> Result<Vec<String>, DiskError> {
        self.folder.list()
    }

    fn read(&mut self, file: &str) -> Result<Vec<u8>, DiskError> {
        self.folder.read(file)
    }

    fn create(&mut self, file: &str) -> Result<(), DiskError> {
        self.folder.create(file)
    }

    fn write_at(&mut self, file: &str, offset: u64, data: &[u8]) -> Result<(), DiskError> {
        self.folder.write_at(file, offset, data)
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError> {
        self.folder.truncate(file, length)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.folder.rename(from, to)
    }

    fn remove(&mut self, file: &str) -> Result<(), DiskError> {
        self.folder.remove(file)
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        self.folder.sync_folder()
    }

    fn inode(&mut self, file: &str) -> Result<u64, DiskError> {
        self.folder.inode(file)
    }
}
