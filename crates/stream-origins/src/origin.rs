//! Origins of streams.

use juniper_registry::SoftwareVersion;
use juniper_types::StreamKey;
use minicbor::{Decode, Encode};

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StreamOrigin {
    /// Service whose server made the first event.
    #[n(0)]
    pub service: String,
    /// Software version of that server.
    #[n(1)]
    pub software: SoftwareVersion,
}

/// Record of a stream's origin.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StreamRecord {
    /// Key of the caller's request whose answer brought the first event.
    #[n(0)]
    pub stream: StreamKey,
    /// Where the stream began.
    #[n(1)]
    pub origin: StreamOrigin,
}
