//! Memory that callers make a process hold: one account of their connections, request bodies and
//! buffered answers, and the decision who gives way when it is full.
//!
//! - `limits` derives the sizes of the account from the machine.
//! - `budget` is the account.
//! - `body` is the progress of one body, by which those that advance least give way first.
//!
//! The crate does no I/O: bytes and time are inputs, and grants, waits and evictions are outputs.

mod body;
mod budget;
mod limits;

pub use budget::{BodyId, Growth, MemoryBudget, Shortage, Usage};
pub use limits::{BudgetLimits, MachineFault, MachineLimits};
