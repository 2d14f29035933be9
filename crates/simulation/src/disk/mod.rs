//! A simulated disk behind the storage crate's own interface.
//!
//! It tells what the operating system shows from what would survive a power
//! cut, sector by sector and name by name, fails a sync or a write on demand,
//! and can lose power in the middle of any operation.

mod file;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use juniper_storage::{Disk, DiskError};

use crate::random::Random;
use file::File;

/// A change of names that is not durable yet.
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

#[derive(Debug)]
struct Content {
    random: Random,
    files: BTreeMap<u64, File>,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    unsynced_names: Vec<NameChange>,
    next_number: u64,
    /// Operations until the power goes, if it is about to.
    power_left: Option<u64>,
    /// Syncs until one fails, if one is about to.
    syncs_left: Option<u64>,
    capacity: Option<usize>,
    syncs_are_lies: bool,
    syncs: u64,
}

/// One folder on a simulated disk. Clones are handles to the same folder.
#[derive(Clone, Debug)]
pub struct SimulatedDisk(Rc<RefCell<Content>>);

impl SimulatedDisk {
    /// An empty folder whose losses are drawn from `random`.
    pub fn new(random: Random) -> Self {
        SimulatedDisk(Rc::new(RefCell::new(Content {
            random,
            files: BTreeMap::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced_names: Vec::new(),
            next_number: 1,
            power_left: None,
            syncs_left: None,
            capacity: None,
            syncs_are_lies: false,
            syncs: 0,
        })))
    }

    /// The power goes after `operations` more operations; the one after fails and
    /// so does everything until [`SimulatedDisk::lose_power`].
    pub fn cut_power_after(&self, operations: u64) {
        self.0.borrow_mut().power_left = Some(operations);
    }

    /// Whether the power has gone.
    pub fn is_without_power(&self) -> bool {
        self.0.borrow().power_left == Some(0)
    }

    /// The sync after `syncs` more fails and loses part of what it should have written.
    pub fn fail_sync_after(&self, syncs: u64) {
        self.0.borrow_mut().syncs_left = Some(syncs);
    }

    /// Leaves room for `bytes` more; `None` gives room without bounds.
    pub fn limit_room(&self, bytes: Option<usize>) {
        let mut content = self.0.borrow_mut();
        content.capacity = bytes.map(|bytes| content.used() + bytes);
    }

    /// Takes back every fault that was about to happen.
    pub fn repair(&self) {
        let mut content = self.0.borrow_mut();
        content.capacity = None;
        content.syncs_left = None;
        content.power_left = content.power_left.filter(|left| *left == 0);
    }

    /// Makes every later sync succeed without doing anything: a planted fault.
    pub fn lie_about_syncs(&self) {
        self.0.borrow_mut().syncs_are_lies = true;
    }

    /// Number of syncs so far.
    pub fn syncs(&self) -> u64 {
        self.0.borrow().syncs
    }

    /// The machine loses power and gets it back: whatever was not synced may be
    /// there, wholly, in part or not at all.
    pub fn lose_power(&self) {
        let content = &mut *self.0.borrow_mut();
        content.power_left = None;
        for change in std::mem::take(&mut content.unsynced_names) {
            if content.random.chance(500) {
                change.apply(&mut content.durable_names);
            }
        }
        content.names.clone_from(&content.durable_names);
        let kept: Vec<u64> = content.names.values().copied().collect();
        content.files.retain(|number, _| kept.contains(number));
        content.files.values_mut().for_each(|file| file.lose_power(&mut content.random));
    }

    /// The process ends while the machine keeps running: the system's cache stays.
    pub fn end_process(&self) {
        self.0.borrow_mut().power_left = None;
    }

    /// Names of the files that start with `prefix`, in order.
    pub fn files(&self, prefix: &str) -> Vec<String> {
        let content = self.0.borrow();
        content.names.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }

    /// Changes one byte of a file, as a failing disk does. Returns whether there was one.
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

    /// Counts an operation towards a power cut.
    fn begin(&mut self, operation: &'static str, name: &str) -> Result<(), DiskError> {
        match &mut self.power_left {
            Some(0) => Err(fault(operation, name, io::ErrorKind::BrokenPipe)),
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
        file.ok_or_else(|| fault(operation, name, io::ErrorKind::NotFound))
    }

    /// Whether this sync is the one that fails.
    fn sync_fails(&mut self) -> bool {
        self.syncs += 1;
        match &mut self.syncs_left {
            Some(0) => {
                self.syncs_left = None;
                true
            }
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        }
    }

    fn rename(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }
}

fn fault(operation: &'static str, name: &str, kind: io::ErrorKind) -> DiskError {
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
        content.begin("create", file)?;
        if let Ok(existing) = content.file("create", file) {
            existing.truncate(0);
            return Ok(());
        }
        let number = content.next_number;
        content.next_number += 1;
        content.files.insert(number, File::new(number));
        content.rename(NameChange::Set(file.to_owned(), number));
        Ok(())
    }

    fn write_at(&mut self, file: &str, offset: u64, data: &[u8]) -> Result<(), DiskError> {
        let mut content = self.0.borrow_mut();
        content.begin("write", file)?;
        let capacity = content.capacity.unwrap_or(usize::MAX);
        let room = capacity.saturating_sub(content.used());
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let target = content.file("write", file)?;
        let growth = (start + data.len()).saturating_sub(target.content().len());
        if growth > room {
            let written = data.len().saturating_sub(growth - room);
            target.write(start, &data[..written]);
            return Err(fault("write", file, io::ErrorKind::StorageFull));
        }
        target.write(start, data);
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError> {
        let mut content = self.0.borrow_mut();
        content.begin("truncate", file)?;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        content.file("truncate", file)?.truncate(length);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<(), DiskError> {
        let content = &mut *self.0.borrow_mut();
        content.begin("sync", file)?;
        if content.syncs_are_lies {
            return Ok(());
        }
        if content.sync_fails() {
            let mut random = content.random.fork();
            content.file("sync", file)?.fail_sync(&mut random);
            return Err(fault("sync", file, io::ErrorKind::Other));
        }
        content.file("sync", file)?.sync();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        let mut content = self.0.borrow_mut();
        content.begin("rename", from)?;
        let number = content.file("rename", from)?.number;
        content.rename(NameChange::Rename { from: from.to_owned(), to: to.to_owned(), number });
        Ok(())
    }

    fn remove(&mut self, file: &str) -> Result<(), DiskError> {
        let mut content = self.0.borrow_mut();
        content.begin("remove", file)?;
        content.file("remove", file)?;
        content.rename(NameChange::Remove(file.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        let content = &mut *self.0.borrow_mut();
        content.begin("sync", ".")?;
        if content.syncs_are_lies {
            return Ok(());
        }
        if content.sync_fails() {
            return Err(fault("sync", ".", io::ErrorKind::Other));
        }
        content.durable_names.clone_from(&content.names);
        content.unsynced_names.clear();
        let kept: Vec<u64> = content.names.values().copied().collect();
        content.files.retain(|number, _| kept.contains(number));
        Ok(())
    }

    fn inode(&mut self, file: &str) -> Result<u64, DiskError> {
        Ok(self.0.borrow_mut().file("stat", file)?.number)
    }
}
