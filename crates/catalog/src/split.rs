//! Weighted traffic split.

use crate::model::SplitPart;

/// Smooth weighted round-robin.
///
/// Each pick adds every part's weight to its credit, chooses the part with the highest credit and
/// subtracts the sum of all weights from it. At any time, each part's number of requests differs
/// from its exact share by at most the number of parts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedSplit {
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Picks the index of the next part, or `None` if all weights are zero. Credits are reset when
    /// the number of parts changes.
    pub fn pick(&mut self, parts: &[SplitPart]) -> Option<usize> {
        if self.credits.len() != parts.len() {
            self.credits = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let weighted = (0..parts.len()).filter(|index| parts[*index].weight > 0);
        let index = weighted.max_by_key(|index| (self.credits[*index], usize::MAX - index))?;
        self.credits[index] -= total;
        Some(index)
    }
}
