//! Size classes of prompts, relative to other prompts of their kind.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_types::Timestamp;

/// Number of recent prompts that sizes are compared with.
const MAX_SIZES: usize = 256;

/// Age from which a size no longer counts.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Fewest prompts from which size classes are known: two of the largest tenth.
pub(crate) const MIN_SIZES: usize = 20;

/// Size of a prompt relative to other prompts of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeClass {
    /// The largest tenth.
    Largest,
    /// The fifth below the largest tenth.
    Large,
    /// The rest.
    Rest,
}

impl SizeClass {
    /// Number of size classes.
    pub(crate) const COUNT: usize = 3;

    /// Value of the size class in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            SizeClass::Largest => "largest",
            SizeClass::Large => "large",
            SizeClass::Rest => "rest",
        }
    }
}

/// Sizes of the recent prompts of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptSizes(VecDeque<(Timestamp, u32)>);

impl PromptSizes {
    pub(crate) fn record(&mut self, tokens: u32, now: Timestamp) {
        let is_old = |oldest: &(Timestamp, u32)| now.since(oldest.0) >= MAX_AGE;
        while self.0.len() >= MAX_SIZES || self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        self.0.push_back((now, tokens));
    }

    /// Size class of a prompt of `tokens`; `None` while too few prompts are known.
    pub(crate) fn class_of(&self, tokens: u32) -> Option<SizeClass> {
        if self.0.len() < MIN_SIZES {
            return None;
        }
        // Prompts of equal size count half, so that equal sizes aren't all the largest.
        let weights = self.0.iter().map(|(_, other)| match other.cmp(&tokens) {
            std::cmp::Ordering::Greater => 1.0,
            std::cmp::Ordering::Equal => 0.5,
            std::cmp::Ordering::Less => 0.0,
        });
        let larger_share = weights.sum::<f64>() / self.0.len() as f64;
        Some(match larger_share {
            share if share < 0.1 => SizeClass::Largest,
            share if share < 0.3 => SizeClass::Large,
            _ => SizeClass::Rest,
        })
    }
}
