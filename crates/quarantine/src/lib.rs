//! Detection and quarantine of requests that crash the servers that execute them.
//!
//! - [`InterruptedRequests`] tracks interrupted requests until it is known whether their server
//!   crashed.
//! - [`CrashCounts`] counts the crashes under each request from the reports of all routers. A
//!   request is quarantined after [`CRASHES_BEFORE_QUARANTINE`] crashes and cleared when it
//!   completes.
//! - [`CompletedRequests`] records requests that have completed, so that simultaneous crashes of
//!   many servers, as in a power failure, don't count against frequent requests.
//! - [`PartCrashes`] finds parts of prompts that crash servers, whatever else the prompts hold, and
//!   quarantines them until a trial shows that a server survives them.
//! - [`CompletedParts`] records when prompts with a part completed, so that frequent, harmless parts
//!   aren't reported.
//! - [`Rebroadcast`] repeats a router's own reports, since messages between routers may be lost.
//!
//! Time is passed in; nothing here performs I/O.

mod completed_parts;
mod completed_requests;
mod counts;
mod interrupted_requests;
mod part_crashes;
mod part_report;
mod part_suspect;
mod part_verdicts;
mod rebroadcast;
mod report;

pub use completed_parts::CompletedParts;
pub use completed_requests::CompletedRequests;
pub use counts::{CRASHES_BEFORE_QUARANTINE, CountOutcome, CrashCounts, UnrecordedQuarantine};
pub use interrupted_requests::{
    CrashProof, InterruptedParts, InterruptedRequest, InterruptedRequests, ServerCrash,
};
pub use part_crashes::{PartChange, PartCrashes};
pub use part_report::{PartCompletionReport, PartCrashReport};
pub use part_suspect::COMPLETION_VALIDITY;
pub use part_verdicts::CRASHES_BEFORE_PART_QUARANTINE;
pub use rebroadcast::Rebroadcast;
pub use report::{Clearance, CrashReport, Report};
