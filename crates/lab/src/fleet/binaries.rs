//! Locates the programs of a fleet.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use super::FleetError;

/// File name of the daemon program.
const DAEMON_PROGRAM: &str = "juniperhollow";

/// Command of the lab program that runs the daemon program built into it.
pub const DAEMON_COMMAND: &str = "daemon";

/// Programs of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Binaries {
    /// Daemon program; the lab program runs the daemons if absent.
    pub daemon: Option<PathBuf>,
    /// Lab program, which runs the emulators.
    pub lab: PathBuf,
}

impl Binaries {
    /// Returns this program and the daemon program in the same folder, unless that is
    /// missing or older than this program and so possibly from an earlier build.
    ///
    /// # Errors
    /// Fails when the path of this program is unknown.
    pub fn beside_this_program() -> Result<Self, FleetError> {
        let lab = std::env::current_exe().map_err(FleetError::CurrentProgram)?;
        let beside = lab.parent().unwrap_or(Path::new(".")).join(DAEMON_PROGRAM);
        let is_current = built_at(&beside).is_some_and(|built| Some(built) >= built_at(&lab));
        Ok(Binaries { daemon: is_current.then_some(beside), lab })
    }

    /// Returns the program that runs daemons and its leading arguments.
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
