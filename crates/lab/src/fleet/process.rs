//! One process of a fleet: started, signalled, awaited, and killed in the end.

use std::ffi::OsString;
use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use super::FleetError;

/// Pause between looks at a process that is to end.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// A signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Planned stop.
    Terminate,
    /// Freeze.
    Stop,
    /// End of the freeze.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "TERM",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
        }
    }
}

/// A program with its arguments, running or not. It is killed when dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    program: PathBuf,
    arguments: Vec<OsString>,
    log: PathBuf,
    child: Option<Child>,
}

impl ManagedProcess {
    /// Starts `program`; what it prints goes to the end of the file `log`.
    ///
    /// # Errors
    /// Fails when it can't be started.
    pub fn start(
        name: impl Into<String>,
        program: PathBuf,
        arguments: Vec<OsString>,
        log: PathBuf,
    ) -> Result<Self, FleetError> {
        let name = name.into();
        let mut process = ManagedProcess { name, program, arguments, log, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program again with the same arguments; kills it first if it runs.
    ///
    /// # Errors
    /// Fails when it can't be started.
    pub fn restart(&mut self) -> Result<(), FleetError> {
        self.kill();
        let fault = |source| FleetError::Start { name: self.name.clone(), source };
        let log = File::options().create(true).append(true).open(&self.log).map_err(fault)?;
        let errors = log.try_clone().map_err(fault)?;
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(fault)?;
        self.child = Some(child);
        Ok(())
    }

    /// Its name in the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Ends the process at once, as a crash does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself; then there is nothing to kill.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Fails when the process is not running.
    pub fn signal(&mut self, signal: Signal) -> Result<(), FleetError> {
        let failed = || FleetError::Signal { name: self.name.clone() };
        let child = self.child.as_ref().ok_or_else(failed)?;
        // The standard library can only kill; the shell has the other signals.
        let sent = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{} {}", signal.name(), child.id()))
            .status();
        match sent {
            Ok(status) if status.success() => Ok(()),
            _ => Err(failed()),
        }
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    /// Fails when it still runs after `limit`, or was not running.
    pub async fn ended(&mut self, limit: Duration) -> Result<ExitStatus, FleetError> {
        let start = Instant::now();
        let failed = || FleetError::StillRunning { name: self.name.clone() };
        let child = self.child.as_mut().ok_or_else(failed)?;
        while start.elapsed() < limit {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return Ok(status);
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Err(failed())
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
