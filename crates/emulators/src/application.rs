//! Execution log of the application server.
//!
//! Executions are counted by tenant and idempotency key and journaled before
//! the work starts, so the counts survive a kill of the process. Tests use them
//! to find requests that were executed twice, or despite a reply that denied
//! their execution.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;

use juniper_types::{BlockHash, Timestamp};
use serde::{Deserialize, Serialize};

use crate::content::GeneratedText;
use crate::witness::{BreachKind, Witness};

/// Length of a listing in tokens: 2 KB of text.
const LISTING_TOKENS: u32 = 512;

/// Identity of an at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Execution {
    /// Tenant of the request.
    pub tenant: String,
    /// Idempotency key of the request.
    pub key: String,
}

/// Number of executions of one at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// Executed request.
    #[serde(flatten)]
    pub execution: Execution,
    /// Number of executions.
    pub count: u64,
}

/// Response body of an at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Tenant of the request.
    pub tenant: String,
    /// Idempotency key of the request.
    pub key: String,
    /// Path of the request.
    pub path: String,
    /// Hash of the request body, in hexadecimal digits.
    pub digest: String,
}

impl Receipt {
    /// Computes the expected response to a request with `body`.
    pub fn of(tenant: &str, key: &str, path: &str, body: &[u8]) -> Self {
        Receipt {
            tenant: tenant.to_owned(),
            key: key.to_owned(),
            path: path.to_owned(),
            digest: BlockHash([0; 16]).next(body).to_string(),
        }
    }
}

/// Returns the text of the listing under `path`, the same on every server.
pub fn listing_text(path: &str) -> String {
    GeneratedText::new(path.as_bytes(), 0, Default::default()).range(0, LISTING_TOKENS)
}

/// Executions of one application server.
#[derive(Debug, Default)]
pub struct Executions {
    counts: BTreeMap<Execution, u64>,
    journal: Option<File>,
    witness: Witness,
}

impl Executions {
    /// Opens the journal at `path` and restores the counts from it.
    ///
    /// # Errors
    /// Fails when the journal can't be read or opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let mut journal = OpenOptions::new().create(true).append(true).read(true).open(path)?;
        let mut counts = BTreeMap::new();
        let mut text = String::new();
        journal.read_to_string(&mut text)?;
        for line in text.lines() {
            // The work of a partially written line was never started.
            if let Ok(execution) = serde_json::from_str::<Execution>(line) {
                *counts.entry(execution).or_default() += 1;
            }
        }
        if !text.is_empty() && !text.ends_with('\n') {
            journal.write_all(b"\n")?;
        }
        Ok(Executions { counts, journal: Some(journal), witness: Witness::default() })
    }

    /// Records the start of `execution`. Must be called before any of its work.
    ///
    /// # Errors
    /// Fails when the journal can't be written; the request must not be executed then.
    pub fn record(&mut self, execution: Execution, now: Timestamp) -> io::Result<()> {
        if let Some(journal) = &mut self.journal {
            let mut line = serde_json::to_vec(&execution)?;
            line.push(b'\n');
            journal.write_all(&line)?;
        }
        let count = self.counts.entry(execution.clone()).or_default();
        *count += 1;
        if *count > 1 {
            let detail = format!("tenant={} key={}", execution.tenant, execution.key);
            self.witness.record(BreachKind::RepeatedExecution, now, detail);
        }
        Ok(())
    }

    /// Returns the number of executions of each request.
    pub fn counts(&self) -> Vec<ExecutionCount> {
        let count = |(execution, count): (&Execution, &u64)| ExecutionCount {
            execution: execution.clone(),
            count: *count,
        };
        self.counts.iter().map(count).collect()
    }

    /// Breaches detected by the server.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }
}
