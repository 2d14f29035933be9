//! Faults of a node file and the error that reports them.

use std::path::PathBuf;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// Location of a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultLocation {
    /// Byte range in the file.
    File(std::ops::Range<usize>),
    /// Command-line flag for this dotted key.
    Flag(String),
}

/// Fault of one value of a node file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeFault {
    /// Dotted key of the value. Empty for the document itself.
    pub key: String,
    /// Description of the fault.
    pub message: String,
    /// Description of the allowed values.
    pub allowed: String,
    /// Location of the value.
    pub location: FaultLocation,
    /// Line in the file, counted from 1. `None` for a flag.
    pub line: Option<usize>,
}

impl std::fmt::Display for NodeFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match (&self.location, self.line) {
            (FaultLocation::Flag(key), _) => write!(formatter, "flag {key}: ")?,
            (_, Some(line)) => write!(formatter, "line {line}: ")?,
            _ => {}
        }
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for NodeFault {}

impl Diagnostic for NodeFault {
    fn help<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        Some(Box::new(format!("allowed: {}", self.allowed)))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = miette::LabeledSpan> + '_>> {
        match &self.location {
            FaultLocation::File(range) => {
                let span = SourceSpan::from(range.clone());
                let label = miette::LabeledSpan::new_with_span(Some(self.message.clone()), span);
                Some(Box::new(std::iter::once(label)))
            }
            FaultLocation::Flag(_) => None,
        }
    }
}

/// Error when a node file is loaded.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum NodeFileError {
    /// The file can't be read.
    #[error("can't read {path}: {error}", path = path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause reported by the operating system.
        error: std::io::Error,
    },
    /// The file is larger than [`super::MAX_NODE_FILE_BYTES`].
    #[error("{path} has {length} bytes, at most {max} are allowed", path = path.display(), max = super::MAX_NODE_FILE_BYTES)]
    TooLong {
        /// Path of the file.
        path: PathBuf,
        /// Length of the file, in bytes.
        length: u64,
    },
    /// The file has faults.
    #[error("{name} has {count} fault(s)", count = faults.len())]
    Faulty {
        /// Name of the file.
        name: String,
        /// Content of the file, for excerpts in the report.
        #[source_code]
        source_text: NamedSource<String>,
        /// All faults, in file order.
        #[related]
        faults: Vec<NodeFault>,
    },
}

impl NodeFileError {
    /// Creates the error for `faults` in the file `name` with the content `source`.
    pub(super) fn faulty(name: &str, source: &str, mut faults: Vec<NodeFault>) -> Self {
        for fault in &mut faults {
            if let FaultLocation::File(range) = &fault.location {
                fault.line = Some(line_number(source, range.start));
            }
        }
        faults.sort_by_key(|fault| fault.line);
        let source_text = NamedSource::new(name, source.to_owned());
        NodeFileError::Faulty { name: name.to_owned(), source_text, faults }
    }

    /// Faults of the file. Empty if the file couldn't be read.
    pub fn faults(&self) -> &[NodeFault] {
        match self {
            NodeFileError::Faulty { faults, .. } => faults,
            _ => &[],
        }
    }
}

fn line_number(source: &str, offset: usize) -> usize {
    let before = &source.as_bytes()[..offset.min(source.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}
