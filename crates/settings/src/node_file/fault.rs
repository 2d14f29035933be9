//! Faults of a node file and their report.

use std::path::PathBuf;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// Where a fault lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultPlace {
    /// At these bytes of the file.
    File(std::ops::Range<usize>),
    /// In the command-line flag for this key.
    Flag(String),
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeFault {
    /// Dotted key of the value, empty for the document itself.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What is allowed there.
    pub allowed: String,
    /// Where.
    pub place: FaultPlace,
    /// Line of the file, counted from 1; absent for a flag.
    pub line: Option<usize>,
}

impl std::fmt::Display for NodeFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match (&self.place, self.line) {
            (FaultPlace::Flag(key), _) => write!(formatter, "flag {key}: ")?,
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
        match &self.place {
            FaultPlace::File(range) => {
                let span = SourceSpan::from(range.clone());
                let label = miette::LabeledSpan::new_with_span(Some(self.message.clone()), span);
                Some(Box::new(std::iter::once(label)))
            }
            FaultPlace::Flag(_) => None,
        }
    }
}

/// Why a node file can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum NodeFileError {
    /// The file can't be read.
    #[error("can't read {path}: {error}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The file is longer than [`super::MAX_NODE_FILE_BYTES`].
    #[error("{path} has {length} bytes, at most {max} are allowed", path = path.display(), max = super::MAX_NODE_FILE_BYTES)]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its length in bytes.
        length: u64,
    },
    /// The file has faults.
    #[error("{name} has {count} fault(s)", count = faults.len())]
    Faulty {
        /// Name of the file.
        name: String,
        /// The text, for the report.
        #[source_code]
        source_text: NamedSource<String>,
        /// Every fault, in file order.
        #[related]
        faults: Vec<NodeFault>,
    },
}

impl NodeFileError {
    /// A report of `faults` in the file `name` with the text `source`.
    pub(super) fn faulty(name: &str, source: &str, mut faults: Vec<NodeFault>) -> Self {
        for fault in &mut faults {
            if let FaultPlace::File(range) = &fault.place {
                fault.line = Some(line_of(source, range.start));
            }
        }
        faults.sort_by_key(|fault| fault.line);
        let source_text = NamedSource::new(name, source.to_owned());
        NodeFileError::Faulty { name: name.to_owned(), source_text, faults }
    }

    /// The faults, if the file could be read.
    pub fn faults(&self) -> &[NodeFault] {
        match self {
            NodeFileError::Faulty { faults, .. } => faults,
            _ => &[],
        }
    }
}

fn line_of(source: &str, offset: usize) -> usize {
    let before = &source.as_bytes()[..offset.min(source.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}
