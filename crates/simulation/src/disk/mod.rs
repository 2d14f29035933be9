//! Simulated disk that implements the storage crate's [`Disk`].
//!
//! Cached and durable content are tracked per sector and per file name. Faults cover
//! failed syncs, a full disk, corrupted bytes and a power loss at any operation.

mod file;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use juniper_storage::{Disk, DiskError};

use crate::random::Random;
use file::File;

/// Change of a directory entry.
#[derive(Clone, Debug)]
enum NameChange {
    Set(String, u64),
    Rename { from: String, to: String, number: u64 },
    Remove(String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, u64>) {
        match self {
            NameChange::Set(name, number) => {
                names.insert(name.clone(), *number);
            }
            NameChange::Rename { from, to, number } => {
                names.remove(from);
                names.insert(to.clone(), *number);
            }
            NameChange::Remove(name) => {
                names.remove(name);
            }
        }
    }
}

/// Shared state of all handles to a disk.
#[derive(Debug)]
struct Content {
    random: Random,
    files: BTreeMap<u64, File>,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    unsynced_names: Vec<NameChange>,
    next_number: u64,
    /// Operations left until a scheduled power loss; `Some(0)` means the power is off.
    operations_until_power_loss: Option<u64>,
    /// Successful syncs left until a scheduled sync failure.
    syncs_until_failure: Option<u64>,
    capacity: Option<usize>,
    ignores_syncs: bool,
    syncs: u64,
}

/// Folder on a simulated disk. Clones share the same folder.
#[derive(Clone, Debug)]
pub struct SimulatedDisk(Rc<RefCell<Content>>);

impl SimulatedDisk {
    /// Creates an empty folder; `random` decides which unsynced data is lost.
    pub fn new(random: Random) -> Self {
        SimulatedDisk(Rc::new(RefCell::new(Content {
            random,
            files: BTreeMap::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced_names: Vec::new(),
            next_number: 1,
            operations_until_power_loss: None,
            syncs_until_failure: None,
            capacity: None,
            ignores_syncs: false,
            syncs: 0,
        })))
    }

    /// Schedules a power loss after `operations` more operations. Later operations fail
    /// until [`SimulatedDisk::lose_power`].
    pub fn cut_power_after(&self, operations: u64) {
        self.0.borrow_mut().operations_until_power_loss = Some(operations);
    }

    /// Whether the power is off.
    pub fn is_without_power(&self) -> bool {
        self.0.borrow().operations_until_power_loss == Some(0)
    }

    /// Makes the sync after `syncs` successful ones fail and lose part of its data.
    pub fn fail_sync_after(&self, syncs: u64) {
        self.0.borrow_mut().syncs_until_failure = Some(syncs);
    }

    /// Limits the free space to `bytes`; `None` removes the limit.
    pub fn limit_free_space(&self, bytes: Option<usize>) {
        let mut content = self.0.borrow_mut();
        content.capacity = bytes.map(|bytes| content.used() + bytes);
    }

    /// Cancels all scheduled faults and the limit on free space.
    pub fn repair(&self) {
        let mut content = self.0.borrow_mut();
        content.capacity = None;
        content.syncs_until_failure = None;
        content.operations_until_power_loss =
            content.operations_until_power_loss.filter(|left| *left == 0);
    }

    /// Makes later syncs succeed without writing, for [`Planted::NoSync`](crate::Planted::NoSync).
    pub fn ignore_syncs(&self) {
        self.0.borrow_mut().ignores_syncs = true;
    }

    /// Number of syncs attempted so far.
    pub fn syncs(&self) -> u64 {
        self.0.borrow().syncs
    }

    /// Simulates a power loss and a reboot. Any part of the unsynced data may survive.
    pub fn lose_power(&self) {
        let content = &mut *self.0.borrow_mut();
        content.operations_until_power_loss = None;
        for change in std::mem::take(&mut content.unsynced_names) {
            if content.random.chance(500) {
                change.apply(&mut content.durable_names);
            }
        }
        content.names.clone_from(&content.durable_names);
        let linked: Vec<u64> = content.names.values().copied().collect();
        content.files.retain(|number, _| linked.contains(number));
        content.files.values_mut().for_each(|file| file.lose_power(&mut content.random));
    }

    /// Simulates the end of the process without power loss: unsynced data stays readable.
    pub fn end_process(&self) {
        self.0.borrow_mut().operations_until_power_loss = None;
    }

    /// Names of the files that start with `prefix`, sorted.
    pub fn files(&self, prefix: &str) -> Vec<String> {
        let content = self.0.borrow();
        content.names.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }

    /// Corrupts a random byte of a file. Returns `false` if the file is missing or empty.
    pub fn corrupt(&self, name: &str) -> bool {
        let content = &mut *self.0.borrow_mut();
        let Some(number) = content.names.get(name).copied() else { return false };
        let Some(file) = content.files.get_mut(&number) else { return false };
        let Some(last) = file.content().len().checked_sub(1) else { return false };
        file.corrupt(content.random.between(0, last as u64) as usize);
        true
    }
}

impl Content {
    fn used(&self) -> usize {
        self.files.values().map(|file| file.content().len()).sum()
    }

    /// Counts an operation towards a scheduled power loss; fails if the power is off.
    fn begin_operation(&mut self, operation: &'static str, name: &str) -> Result<(), DiskError> {
        match &mut self.operations_until_power_loss {
            Some(0) => Err(disk_error(operation, name, io::ErrorKind::BrokenPipe)),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn file(&mut self, operation: &'static str, name: &str) -> Result<&mut File, DiskError> {
        let number = self.names.get(name).copied();
        let file = number.and_then(|number| self.files.get_mut(&number));
        file.ok_or_else(|| disk_error(operation, name, io::ErrorKind::NotFound))
    }

    /// Counts a sync and returns whether it fails.
    fn count_sync(&mut self) -> bool {
        self.syncs += 1;
        match &mut self.syncs_until_failure {
            Some(0) => {
                self.syncs_until_failure = None;
                true
            }
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        }
    }

    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }
}

fn disk_error(operation: &'static str, name: &str, kind: io::ErrorKind) -> DiskError {
    DiskError::io(operation, name, io::Error::from(kind))
}

impl Disk for SimulatedDisk {
    fn lock(&mut self) -> Result<(), DiskError> {
        Ok(())
    }

    fn list(&mut self) -> Result<Vec<String>, DiskError> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&mut self, file: &str) -> Result<Vec<u8>, DiskError> {
        Ok(self.0.borrow_mut().file("read", file)?.content().to_vec())
    }

    fn create(&mut self, file: &str) -> Result<(), DiskError> {
        let mut content = self.0.borrow_mut();
        content.begin_operation("create", file)?;
        if let Ok(existing) = content.file("create", file) {
            existing.truncate(0);
            return Ok(());
        }
        let number = content.next_number;
        content.next_number += 1;
        content.files.insert(number, File::new(number));
        content.change_name(NameChange::Set(file.to_owned(), number));
        Ok(())
    }

    fn write_at(&mut self, file: &str, offset: u64, data: &[u8]) -> Result<(), DiskError> {
        let mut content = self.0.borrow_mut();
        content.begin_operation("write", file)?;
        let capacity = content.capacity.unwrap_or(usize::MAX);
        let free_space = capacity.saturating_sub(content.used());
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let target = content.file("write", file)?;
        let growth = (start + data.len()).saturating_sub(target.content().len());
        if growth > free_space {
            let written = data.len().saturating_sub(growth - free_space);
            target.write(start, &data[..written]);
            return Err(disk_error("write", file, io::ErrorKind::StorageFull));
        }
        target.write(start, data);
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError> {
        let mut content = self.0.borrow_mut();
        content.begin_operation("truncate", file)?;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        content.file("truncate", file)?.truncate(length);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<(), DiskError> {
        let content = &mut *self.0.borrow_mut();
        content.begin_operation("sync", file)?;
        if content.ignores_syncs {
            return Ok(());
        }
        if content.count_sync() {
            let mut random = content.random.fork();
            content.file("sync", file)?.fail_sync(&mut random);
            return Err(disk_error("sync", file, io::ErrorKind::Other));
        }
        content.file("sync", file)?.sync();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        let mut content = self.0.borrow_mut();
        content.begin_operation("rename", from)?;
        let number = content.file("rename", from)?.number;
        content.change_name(NameChange::Rename {
            from: from.to_owned(),
            to: to.to_owned(),
            number,
        });
        Ok(())
    }

    fn remove(&mut self, file: &str) -> Result<(), DiskError> {
        let mut content = self.0.borrow_mut();
        content.begin_operation("remove", file)?;
        content.file("remove", file)?;
        content.change_name(NameChange::Remove(file.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        let content = &mut *self.0.borrow_mut();
        content.begin_operation("sync", ".")?;
        if content.ignores_syncs {
            return Ok(());
        }
        if content.count_sync() {
            return Err(disk_error("sync", ".", io::ErrorKind::Other));
        }
        content.durable_names.clone_from(&content.names);
        content.unsynced_names.clear();
        let linked: Vec<u64> = content.names.values().copied().collect();
        content.files.retain(|number, _| linked.contains(number));
        Ok(())
    }

    fn inode(&mut self, file: &str) -> Result<u64, DiskError> {
        Ok(self.0.borrow_mut().file("stat", file)?.number)
    }
}
