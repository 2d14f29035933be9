//! Weighted fair shares.

/// Demand of one class for a scarce resource.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    pub work: f64,
    /// Weight of the class for each unit of its work.
    pub weight: f64,
}

/// Level at which the classes together get `capacity`, if the share of its demand that each gets is
/// its weight x level, at most 1. Infinite if all demand fits.
pub(crate) fn fair_level(mut demands: Vec<Demand>, capacity: f64) -> f64 {
    demands.retain(|demand| demand.work > 0.0);
    demands.sort_unstable_by(|one, other| other.weight.total_cmp(&one.weight));
    let mut weighted: f64 = demands.iter().map(|demand| demand.weight * demand.work).sum();
    let mut left = capacity.max(0.0);
    for demand in &demands {
        let level = left / weighted;
        if level * demand.weight < 1.0 {
            return level;
        }
        left -= demand.work;
        weighted -= demand.weight * demand.work;
    }
    f64::INFINITY
}

/// Work at which the classes together get `capacity`, if each gets the same amount of work, or all it
/// demands if that is less. Infinite if all demand fits.
pub(crate) fn max_min_level(works: impl Iterator<Item = f64>, capacity: f64) -> f64 {
    let works = works.filter(|work| *work > 0.0);
    fair_level(works.map(|work| Demand { work, weight: 1.0 / work }).collect(), capacity)
}
