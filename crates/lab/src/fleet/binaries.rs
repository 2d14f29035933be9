//! Finds the programs that a fleet is made of.

use std::path::{Path, PathBuf};

use super::FleetError;

/// Name of the daemons' program.
const DAEMON_PROGRAM: &str = "juniperhollow";

/// The programs that a fleet is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Binaries {
    /// The daemons.
    pub daemon: PathBuf,
    /// The lab, for the emulators.
    pub lab: PathBuf,
}

impl Binaries {
    /// This program, and the daemons' program beside it.
    ///
    /// # Errors
    /// Fails when the daemons' program is not there.
    pub fn beside_this_program() -> Result<Self, FleetError> {
        let lab = std::env::current_exe().map_err(FleetError::CurrentProgram)?;
        let daemon = lab.parent().unwrap_or(Path::new(".")).join(DAEMON_PROGRAM);
        if !daemon.is_file() {
            return Err(FleetError::NoDaemon(daemon));
        }
        Ok(Binaries { daemon, lab })
    }
}
