//! Finds the programs that a fleet is made of.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use super::FleetError;

/// Name of the daemons' program.
const DAEMON_PROGRAM: &str = "juniperhollow";

/// Command of the lab's program that runs the daemons' program built into it.
pub const DAEMON_COMMAND: &str = "daemon";

/// The programs that a fleet is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Binaries {
    /// The daemons; without it the lab's program runs them.
    pub daemon: Option<PathBuf>,
    /// The lab, for the emulators.
    pub lab: PathBuf,
}

impl Binaries {
    /// This program, and the daemons' program beside it unless it is missing or
    /// older: an older one may be of an older build.
    ///
    /// # Errors
    /// Fails when the path of this program is unknown.
    pub fn beside_this_program() -> Result<Self, FleetError> {
        let lab = std::env::current_exe().map_err(FleetError::CurrentProgram)?;
        let beside = lab.parent().unwrap_or(Path::new(".")).join(DAEMON_PROGRAM);
        let is_current = built_at(&beside).is_some_and(|built| Some(built) >= built_at(&lab));
        Ok(Binaries { daemon: is_current.then_some(beside), lab })
    }

    /// The program that runs daemons, and the arguments before its own.
    pub(super) fn daemon_command(&self) -> (PathBuf, Vec<OsString>) {
        match &self.daemon {
            Some(daemon) => (daemon.clone(), Vec::new()),
            None => (self.lab.clone(), vec![DAEMON_COMMAND.into()]),
        }
    }
}

fn built_at(program: &Path) -> Option<SystemTime> {
    program.metadata().ok()?.modified().ok()
}
