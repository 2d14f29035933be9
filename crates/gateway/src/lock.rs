//! Locks whose data stays usable after a panic of another holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`. The guard must not be held across an await.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
