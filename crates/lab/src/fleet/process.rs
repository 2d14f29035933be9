//! Child process of a fleet.

use std::ffi::OsString;
use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use super::FleetError;

/// Interval between checks for the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Signals sent to processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: graceful shutdown.
    Terminate,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
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

/// Program with its arguments and, while running, its child process, which is killed on
/// drop.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    program: PathBuf,
    arguments: Vec<OsString>,
    log: PathBuf,
    child: Option<Child>,
}

impl ManagedProcess {
    /// Starts `program` and appends its output to the file `log`.
    ///
    /// # Errors
    /// Fails when the log can't be opened or the process can't be started.
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

    /// Restarts the program with the same arguments; a running process is killed first.
    ///
    /// # Errors
    /// Fails when the log can't be opened or the process can't be started.
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

    /// Returns the name of the process in the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// Fails when the process is not running.
    pub fn signal(&mut self, signal: Signal) -> Result<(), FleetError> {
        let failed = || FleetError::Signal { name: self.name.clone() };
        let child = self.child.as_ref().ok_or_else(failed)?;
        // The standard library can only send SIGKILL.
        let sent = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{} {}", signal.name(), child.id()))
            .status();
        match sent {
            Ok(status) if status.success() => Ok(()),
            _ => Err(failed()),
        }
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    /// Fails when the process is still running after `limit` or was not running.
    pub async fn ended(&mut self, limit: Duration) -> Result<ExitStatus, FleetError> {
        let start = Instant::now();
        let failed = || FleetError::StillRunning { name: self.name.clone() };
        let child = self.child.as_mut().ok_or_else(failed)?;
        while start.elapsed() < limit {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(failed())
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
