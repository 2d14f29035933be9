//! Limit on the bytes that a server sends before the head of its answer is complete.
//!
//! The HTTP library bounds the size of a head, but not the number of informational heads before it.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of bytes up to the end of an answer's head, informational heads and the beginning of
/// the body included.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// No limit applies.
const UNLIMITED: usize = usize::MAX;

/// Bytes that the server may still send on a connection.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit(Arc<AtomicUsize>);

impl Default for HeadLimit {
    fn default() -> Self {
        HeadLimit(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl HeadLimit {
    /// Applies the limit to what is received from now on, before a request is sent.
    pub(crate) fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit once the head of the answer is there.
    pub(crate) fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Takes received bytes off the limit.
    ///
    /// # Errors
    /// Fails when they exceed it.
    pub(crate) fn take(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        match bytes <= left {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::InvalidData, "head without end")),
        }
    }
}
