//! A router's share of a limit that holds across the fleet.

/// Fraction of a limit that is split evenly regardless of demand; the rest follows demand. The
/// even fraction is available at once to a router whose traffic surges.
const EVEN_FRACTION: f64 = 0.5;

/// A router's share of the fleet's limits, above 0 and at most 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare(f64);

impl FleetShare {
    /// Even share among `routers_live` routers, including this one.
    pub fn even(routers_live: u32) -> Self {
        FleetShare(1.0 / f64::from(routers_live.max(1)))
    }

    /// Share weighted by demand. `own` is the demand that this router last reported, not its
    /// current demand, and `all` is the sum over all live routers including `own`, so that the
    /// shares of routers with the same reports add up to one.
    pub fn by_demand(routers_live: u32, own: f64, all: f64) -> Self {
        let even = Self::even(routers_live);
        if all <= 0.0 || own < 0.0 || own > all {
            return even;
        }
        FleetShare(EVEN_FRACTION * even.0 + (1.0 - EVEN_FRACTION) * own / all)
    }

    /// Share of a rate.
    pub fn of_rate(self, rate: f64) -> f64 {
        rate * self.0
    }

    /// Share of a count, rounded down but at least one unless the count is zero.
    pub fn of_count(self, count: u32) -> u32 {
        let share = (f64::from(count) * self.0).floor() as u32;
        share.max(count.min(1))
    }
}
