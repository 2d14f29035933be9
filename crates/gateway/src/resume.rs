//! Resumption of streams. The events of different software versions don't fit together, so a stream
//! continues only at servers of the version that began it.

/// Why a stream can't be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResumeRefusal {
    /// No server runs the software version that began the stream.
    NoSoftware,
}

impl ResumeRefusal {
    /// Value of `reason` in logs, metrics and the body of the answer.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ResumeRefusal::NoSoftware => "software_version_gone",
        }
    }
}
