//! The application server's record of what it has run.
//!
//! The record is kept by tenant and idempotency key and written to a journal
//! before the work starts, so that it outlives a kill: whether a request ran
//! twice, or ran after a refusal said that it hadn't, is decided from it.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;

use juniper_types::{BlockHash, Timestamp};
use serde::{Deserialize, Serialize};

use crate::content::GeneratedText;
use crate::witness::{BreachKind, Witness};

/// Output tokens that a listing has: 2 KB of text.
const LISTING_TOKENS: u32 = 512;

/// One execution of a call that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Execution {
    /// Whose call.
    pub tenant: String,
    /// Its idempotency key.
    pub key: String,
}

/// How often a call was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// The call.
    #[serde(flatten)]
    pub execution: Execution,
    /// Times that it was run.
    pub count: u64,
}

/// What a call that runs at most once is answered with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Whose call.
    pub tenant: String,
    /// Its idempotency key.
    pub key: String,
    /// Path that was called.
    pub path: String,
    /// Hash of the body, in hexadecimal digits.
    pub digest: String,
}

impl Receipt {
    /// The receipt that `body` must be answered with.
    pub fn of(tenant: &str, key: &str, path: &str, body: &[u8]) -> Self {
        Receipt {
            tenant: tenant.to_owned(),
            key: key.to_owned(),
            path: path.to_owned(),
            digest: BlockHash([0; 16]).next(body).to_string(),
        }
    }
}

/// The text of the listing under `path`: what every server answers with.
pub fn listing_text(path: &str) -> String {
    GeneratedText::new(path.as_bytes(), 0, Default::default()).range(0, LISTING_TOKENS)
}

/// Everything that one application server has run.
#[derive(Debug, Default)]
pub struct Executions {
    counts: BTreeMap<Execution, u64>,
    journal: Option<File>,
    witness: Witness,
}

impl Executions {
    /// A record that goes on from the journal at `path`.
    ///
    /// # Errors
    /// Fails when the journal can't be read or opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let mut journal = OpenOptions::new().create(true).append(true).read(true).open(path)?;
        let mut counts = BTreeMap::new();
        let mut text = String::new();
        journal.read_to_string(&mut text)?;
        for line in text.lines() {
            // A line that a kill cut short was never acted on.
            if let Ok(execution) = serde_json::from_str::<Execution>(line) {
                *counts.entry(execution).or_default() += 1;
            }
        }
        if !text.is_empty() && !text.ends_with('\n') {
            journal.write_all(b"\n")?;
        }
        Ok(Executions { counts, journal: Some(journal), witness: Witness::default() })
    }

    /// Records that `execution` starts; must be called before any of its work.
    ///
    /// # Errors
    /// Fails when the journal can't be written; then nothing may run.
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

    /// How often each call was run.
    pub fn counts(&self) -> Vec<ExecutionCount> {
        let count = |(execution, count): (&Execution, &u64)| ExecutionCount {
            execution: execution.clone(),
            count: *count,
        };
        self.counts.iter().map(count).collect()
    }

    /// Breaches seen.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }
}
