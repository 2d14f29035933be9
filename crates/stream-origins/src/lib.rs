//! Records of the software versions that began streams.
//!
//! The events of different software versions of a server don't fit together, so a stream that a
//! caller resumes has to continue at the version that began it, whichever router the caller asks. The
//! router that passes on the first event of an answer records the service and the version under the
//! caller's id of the request. A record never changes afterwards, so that a lost or late copy can only
//! prevent a resume, never misdirect one. Two records of one stream that disagree cancel each other.
//!
//! A caller may resume a stream without naming that id. Then only a service whose servers have all run
//! one version for as long as the stream can have lasted can have begun it. Routers and replicas keep
//! the versions that they have known ([`SoftwareHistory`]), and since when they have known all of them:
//! one that has just started can't rule out that another version has gone ([`sole_version`]).
//!
//! Nothing in this crate performs I/O or reads a clock.

mod history;
mod origin;
mod served;
mod table;

pub use history::{HistorySnapshot, ServiceHistory, SoftwareHistory};
pub use origin::{StreamOrigin, StreamRecord};
pub use served::{ServedVersion, ServedVersions, sole_version};
pub use table::{OriginTable, RecordOutcome};
