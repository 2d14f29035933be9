//! Durable log, snapshots and disk identity of a control replica.
//!
//! A data folder is created by [`format()`], opened by [`Storage::open`] and written
//! by [`Storage::save`], which returns only after all data is synced. The design and
//! the file formats are described in `docs/design/storage.md`.

mod codec;
pub mod disk;
pub mod error;
pub mod folder;
mod format;
mod frame;
mod identity;
mod mark;
pub mod recovery;
mod replay;
mod segments;
mod snapshot;
mod storage;

pub use disk::{Disk, DiskError};
pub use error::{Damage, FormatError, OpenError, StorageError};
pub use folder::Folder;
pub use format::{format, new_disk_identity, wipe};
pub use recovery::{FolderReport, RecoveryError, RecoveryPlan, apply, inspect, plan};
pub use storage::Storage;
