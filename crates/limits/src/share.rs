//! One router's share of a limit that holds for the whole fleet.

/// Part of a limit that is split evenly however the demand lies; the rest
/// follows the demand. A router that suddenly gets all the traffic can admit
/// at least its even part of this at once.
const EVEN_PART: f64 = 0.5;

/// A share of the fleet's limits, above 0 and at most 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare(f64);

impl FleetShare {
    /// The same share for each of `routers_live` routers, this one included.
    pub fn even(routers_live: u32) -> Self {
        FleetShare(1.0 / f64::from(routers_live.max(1)))
    }

    /// A share that follows demand. `own` is what this router told the others
    /// last, not what it sees now, and `all` the sum of what every live router
    /// told last, `own` included: routers that got the same reports then hold
    /// shares that add up to one.
    pub fn by_demand(routers_live: u32, own: f64, all: f64) -> Self {
        let even = Self::even(routers_live);
        if all <= 0.0 || own < 0.0 || own > all {
            return even;
        }
        FleetShare(EVEN_PART * even.0 + (1.0 - EVEN_PART) * own / all)
    }

    /// This router's part of a rate.
    pub fn of_rate(self, rate: f64) -> f64 {
        rate * self.0
    }

    /// This router's part of a count, at least one unless the count is zero.
    pub fn of_count(self, count: u32) -> u32 {
        let part = (f64::from(count) * self.0).floor() as u32;
        part.max(count.min(1))
    }
}
