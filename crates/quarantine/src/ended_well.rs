//! Requests that have ended well of late, in little memory.

use juniper_types::RequestFingerprint;

/// Requests that are remembered at most: 16 KB. A later one takes the place of an earlier one now
/// and then; that one's copies then count like those of a request that never ended well.
const PLACES: usize = 2_048;

/// Requests that have ended well of late.
#[derive(Clone, Debug)]
pub struct EndedWell {
    places: Vec<u64>,
}

impl Default for EndedWell {
    fn default() -> Self {
        EndedWell { places: vec![0; PLACES] }
    }
}

impl EndedWell {
    /// The request has ended well.
    pub fn note(&mut self, request: &RequestFingerprint) {
        let (place, mark) = place_of(request);
        self.places[place] = mark;
    }

    /// Whether the request has ended well, and no other has taken its place since.
    pub fn has(&self, request: &RequestFingerprint) -> bool {
        let (place, mark) = place_of(request);
        self.places[place] == mark
    }
}

/// Where a request is noted, and as what. Zero marks a free place.
fn place_of(request: &RequestFingerprint) -> (usize, u64) {
    let number = u128::from_be_bytes(request.0);
    let place = (number as usize) % PLACES;
    (place, ((number >> 64) as u64).max(1))
}
