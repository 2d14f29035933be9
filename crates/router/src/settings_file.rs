//! Settings in force on disk, so that a restarted router serves without the control replicas.
//!
//! The file is synced before its revision comes into force. A restarted router
//! therefore never starts with an older revision than it had in force.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use juniper_settings::SettingsTree;
use juniper_types::Revision;
use minicbor::{Decode, Encode};

const FILE_NAME: &str = "settings-in-force.cbor";
const TEMPORARY_NAME: &str = "settings-in-force.tmp";
const CHECKSUM_BYTES: usize = 32;

#[derive(Encode, Decode)]
#[cbor(map)]
struct Record {
    #[n(0)]
    revision: Revision,
    #[n(1)]
    tree: SettingsTree,
}

/// Error of reading or writing the settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// An I/O error.
    #[error("settings file: {0}")]
    Io(#[from] std::io::Error),
    /// The content is truncated or doesn't match its checksum.
    #[error("settings file is damaged")]
    Damaged,
}

/// Settings file in a data folder.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    folder: PathBuf,
}

impl SettingsFile {
    /// Opens the settings file in `folder`, and creates the folder if missing.
    pub fn open(folder: &Path) -> Result<Self, SettingsFileError> {
        fs::create_dir_all(folder)?;
        Ok(SettingsFile { folder: folder.to_owned() })
    }

    /// Reads the revision and tree. Returns `None` if the file doesn't exist.
    pub fn read(&self) -> Result<Option<(Revision, SettingsTree)>, SettingsFileError> {
        let bytes = match fs::read(self.folder.join(FILE_NAME)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let Some((checksum, payload)) = bytes.split_at_checked(CHECKSUM_BYTES) else {
            return Err(SettingsFileError::Damaged);
        };
        if blake3::hash(payload).as_bytes() != checksum {
            return Err(SettingsFileError::Damaged);
        }
        let record: Record = minicbor::decode(payload).map_err(|_| SettingsFileError::Damaged)?;
        Ok(Some((record.revision, record.tree)))
    }

    /// Replaces the file atomically and syncs it and its folder.
    pub fn write(&self, revision: Revision, tree: &SettingsTree) -> Result<(), SettingsFileError> {
        let record = Record { revision, tree: tree.clone() };
        let payload = juniper_protocol::message::encode(&record);
        let temporary = self.folder.join(TEMPORARY_NAME);
        let mut file = File::create(&temporary)?;
        file.write_all(blake3::hash(&payload).as_bytes())?;
        file.write_all(&payload)?;
        file.sync_all()?;
        fs::rename(&temporary, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()?;
        Ok(())
    }
}
