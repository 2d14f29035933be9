//! Sharing requests out by weight.

use crate::model::SplitPart;

/// Shares requests out by weight so that after any number of them each part has
/// had its share to within one request for each other part.
///
/// Each pick adds every part's weight to its credit and takes the sum of all
/// weights from the part with the most credit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedSplit {
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Picks the next part among `parts`. A change of their number starts over.
    pub fn pick(&mut self, parts: &[SplitPart]) -> Option<usize> {
        if self.credits.len() != parts.len() {
            self.credits = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let weighted = (0..parts.len()).filter(|place| parts[*place].weight > 0);
        let place = weighted.max_by_key(|place| (self.credits[*place], usize::MAX - place))?;
        self.credits[place] -= total;
        Some(place)
    }
}
