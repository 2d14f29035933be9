//! The last settings in force, kept on disk so that a restart serves at once.
//!
//! The file is synced before its revision comes into force. A restarted router
//! therefore never starts below a revision that it had in force.

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

/// Why the file could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The disk failed.
    #[error("settings file: {0}")]
    Io(#[from] std::io::Error),
    /// The content does not match its checksum.
    #[error("settings file is damaged")]
    Damaged,
}

/// The settings file of one data folder.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    folder: PathBuf,
}

impl SettingsFile {
    /// Uses `folder`, which is made if absent.
    pub fn open(folder: &Path) -> Result<Self, SettingsFileError> {
        fs::create_dir_all(folder)?;
        Ok(SettingsFile { folder: folder.to_owned() })
    }

    /// Reads the kept revision and tree; `None` if there is no file.
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

    /// Replaces the file and syncs it and its folder.
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
