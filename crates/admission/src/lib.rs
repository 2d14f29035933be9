//! Decides which requests are admitted while servers are overloaded. Performs no I/O and reads no
//! clock.
//!
//! A prompt is refused only if a resource is scarce on three quarters of the servers and the
//! prompt's class is above its weighted fair share ([`PromptAdmission`]). Calls without prompts are
//! compared with a limit on the requests in flight at a server ([`ConcurrencyLimit`]).

mod concurrency;
mod prompts;
mod scarcity;
mod shares;
mod sizes;

pub use concurrency::{CallOverload, ConcurrencyLimit, ServerCalls};
pub use prompts::{Overload, PromptAdmission, PromptDemand};
pub use scarcity::{Resource, ServerUsage, ServiceScarcity};
pub use sizes::SizeClass;
