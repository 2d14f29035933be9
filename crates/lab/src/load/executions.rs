//! Compares the answers to at-most-once requests with the executions that the
//! application servers recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use juniper_emulators::application::{Execution, ExecutionCount, Executions};
use juniper_emulators::http::application::EXECUTIONS_PATH;

use super::client::AttemptError;
use super::outcome::{Violation, ViolationKind};

/// Execution state of a call as its answers imply it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// Every answer denied the execution, or nothing was sent.
    NotRun,
    /// The call was answered as executed.
    Run,
    /// At least one attempt left the execution unknown.
    Open,
}

impl Belief {
    /// Returns the state after an attempt that failed with `error`.
    pub fn after(self, error: &AttemptError) -> Self {
        match error {
            AttemptError::NotReached => self,
            AttemptError::Refused(detail) if detail.not_run => self,
            _ => Belief::Open,
        }
    }
}

/// One at-most-once request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Identity of the call.
    pub execution: Execution,
    /// Execution state that the answers imply.
    pub belief: Belief,
}

/// Source of execution records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionSource {
    /// A running application server.
    Server(SocketAddr),
    /// The journal of an application server, running or not.
    Journal(PathBuf),
}

/// Failure to read execution records.
#[derive(Debug, thiserror::Error)]
pub enum ExecutionSourceError {
    /// The server didn't answer, or the answer is malformed.
    #[error("the execution record of application server {0} can't be read")]
    Server(SocketAddr, #[source] reqwest::Error),
    /// The journal can't be read.
    #[error("the journal {0} can't be read")]
    Journal(PathBuf, #[source] io::Error),
}

/// Reads the executions of all sources.
///
/// # Errors
/// Fails when any source can't be read, since violations could be missed.
pub async fn read_sources(
    sources: &[ExecutionSource],
) -> Result<BTreeMap<Execution, u64>, ExecutionSourceError> {
    let mut all = BTreeMap::new();
    for source in sources {
        for ExecutionCount { execution, count } in read_source(source).await? {
            *all.entry(execution).or_default() += count;
        }
    }
    Ok(all)
}

async fn read_source(
    source: &ExecutionSource,
) -> Result<Vec<ExecutionCount>, ExecutionSourceError> {
    match source {
        ExecutionSource::Server(address) => {
            let fault = |error| ExecutionSourceError::Server(*address, error);
            let url = format!("http://{address}{EXECUTIONS_PATH}");
            let response = reqwest::get(url).await.map_err(fault)?;
            response.error_for_status().map_err(fault)?.json().await.map_err(fault)
        }
        ExecutionSource::Journal(path) => {
            let fault = |error| ExecutionSourceError::Journal(path.clone(), error);
            Ok(Executions::open(path).map_err(fault)?.counts())
        }
    }
}

/// Returns the violations that the recorded executions show.
pub fn compare(calls: &[CallRecord], ran: &BTreeMap<Execution, u64>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (execution, count) in ran.iter().filter(|(_, count)| **count > 1) {
        let detail = format!("{execution:?} ran {count} times");
        violations.push(Violation::new(ViolationKind::RanTwice, detail));
    }
    let ran: BTreeSet<&Execution> = ran.keys().collect();
    for CallRecord { execution, belief } in calls {
        let kind = match (belief, ran.contains(execution)) {
            (Belief::NotRun, true) => ViolationKind::FalseRefusal,
            (Belief::Run, false) => ViolationKind::AnsweredWithoutRunning,
            _ => continue,
        };
        violations.push(Violation::new(kind, format!("{execution:?}")));
    }
    violations
}
