//! File with the software versions that have served, for a restart of all processes at once.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use juniper_stream_origins::HistorySnapshot;
use minicbor::{Decode, Encode};

use crate::clock::unix_millis;

const FILE_NAME: &str = "served-versions";
const TEMPORARY_NAME: &str = "served-versions.new";

/// Steps of the wall clock that are tolerated: less time counts as elapsed since the file was written.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(5);

/// Error of the file.
#[derive(Debug, thiserror::Error)]
pub enum HistoryFileError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The content can't be decoded.
    #[error("the file is damaged: {0}")]
    Damaged(#[from] minicbor::decode::Error),
}

#[derive(Encode, Decode)]
struct Record {
    /// Wall clock at the time of writing, in milliseconds since the Unix epoch.
    #[n(0)]
    written_at: u64,
    #[n(1)]
    snapshot: HistorySnapshot,
}

/// The file in a replica's data folder.
#[derive(Clone, Debug)]
pub struct HistoryFile {
    folder: PathBuf,
}

impl HistoryFile {
    /// File in `folder`, which need not exist yet.
    pub fn new(folder: &Path) -> Self {
        HistoryFile { folder: folder.to_owned() }
    }

    /// Reads the snapshot and the time since it was written; `None` without a file.
    ///
    /// # Errors
    /// Fails if the file can't be read.
    pub fn read(&self) -> Result<Option<(HistorySnapshot, Duration)>, HistoryFileError> {
        let bytes = match fs::read(self.folder.join(FILE_NAME)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            result => result?,
        };
        let Record { written_at, snapshot } = minicbor::decode(&bytes)?;
        let elapsed = Duration::from_millis(unix_millis().saturating_sub(written_at));
        Ok(Some((snapshot, elapsed.saturating_sub(CLOCK_TOLERANCE))))
    }

    /// Replaces the file atomically and syncs it and its folder. A file that can't be replaced is
    /// removed, since it lacks versions that have served.
    ///
    /// # Errors
    /// Fails if the disk does.
    pub fn write(&self, snapshot: HistorySnapshot) -> Result<(), HistoryFileError> {
        let record = Record { written_at: unix_millis(), snapshot };
        let bytes = juniper_control_state::to_bytes(&record);
        self.replace(&bytes).map_err(|error| {
            // Without a file the history starts anew, which is safe. The disk may refuse this, too.
            let _ = fs::remove_file(self.folder.join(FILE_NAME));
            error.into()
        })
    }

    fn replace(&self, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(TEMPORARY_NAME);
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()
    }
}
