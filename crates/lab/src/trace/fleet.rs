//! Traces scaled to the lab's small fleets.

use std::time::Duration;

use juniper_emulators::trace::{Profile, Trace, TraceOptions, TraceRequest, generate};
use juniper_types::{NameError, ServiceName};

use crate::fleet::PREVIEW_SERVICE;

/// One listing in this many becomes a preview, so that the trace holds every kind of request.
const LISTINGS_PER_PREVIEW: usize = 3;

/// Generates a trace for `engines` engines with every kind of request.
///
/// # Errors
/// Never fails for the built-in profiles, whose names are valid constants.
pub fn fleet_trace(
    profile: Profile,
    seed: u64,
    load: f64,
    engines: usize,
    duration: Duration,
) -> Result<Trace, NameError> {
    let share = engines as f64 / f64::from(profile.shape().engines);
    let duration_ms = duration.as_millis() as u64;
    let mut trace = generate(TraceOptions { profile, seed, load: load * share, duration_ms })?;
    let service = ServiceName::new(PREVIEW_SERVICE)?;
    for (number, record) in trace.records.iter_mut().enumerate() {
        let TraceRequest::Listing { resource } = record.request else { continue };
        if number.is_multiple_of(LISTINGS_PER_PREVIEW) {
            record.request = TraceRequest::Preview { clip: resource };
            record.service = service.clone();
        }
    }
    Ok(trace)
}
