//! Draw among the cheapest servers.

use juniper_prefix_index::rendezvous;

/// Costs that differ by less than this many milliseconds count as equal, also without unreported
/// work.
const TIE_MARGIN_MS: f64 = 1.0;

/// Bound on the range of costs of drawn servers, relative to the spread. A server whose cached
/// segments save more than this keeps its prompts. In simulations, waits were longer with 2 and no
/// shorter with 20.
const MAX_RANGE_FACTOR: f64 = 6.0;

/// Distinguishes the draw from other uses of the same random number.
const DRAW_SALT: u64 = 0x7365_6c65_6374;

/// Draws a server and returns its index; `None` without a server of finite cost.
///
/// `spread` is the mean unreported work per server. The probabilities are those at which the
/// routers' unreported work would raise the cheapest servers to a common cost: proportional to the
/// difference between that cost and the server's own.
pub fn select(costs: &[f64], spread: f64, random: u64) -> Option<usize> {
    let usable = || costs.iter().copied().filter(|cost| cost.is_finite());
    let least = usable().min_by(f64::total_cmp)?;
    let spread = if spread.is_finite() { spread.max(0.0) } else { 0.0 };
    let range = (common_cost(costs, least, spread * costs.len() as f64) - least)
        .min(spread * MAX_RANGE_FACTOR)
        .max(TIE_MARGIN_MS);
    let weight = |cost: f64| (least + range - cost).max(0.0);
    let total: f64 = usable().map(weight).sum();
    let mut left = unit(rendezvous::score(random, DRAW_SALT)) * total;
    let mut drawn = None;
    for (index, cost) in costs.iter().enumerate().filter(|(_, cost)| cost.is_finite()) {
        let weight = weight(*cost);
        if weight > 0.0 {
            drawn = Some(index);
            if left < weight {
                break;
            }
            left -= weight;
        }
    }
    drawn
}

/// Cost to which `work` raises the cheapest servers. Starts with the mean over all servers and
/// leaves out those above it until none is; a few rounds suffice.
fn common_cost(costs: &[f64], least: f64, work: f64) -> f64 {
    let mut level = least + work;
    loop {
        let below = costs.iter().filter(|cost| **cost < level);
        let (count, sum) = below.fold((0, 0.0), |(count, sum), cost| (count + 1, sum + cost));
        if count == 0 {
            return least;
        }
        let next = (work + sum) / f64::from(count);
        if next >= level {
            return level;
        }
        level = next;
    }
}

/// Number from 0 to below 1.
fn unit(random: u64) -> f64 {
    (random >> 11) as f64 / (1_u64 << 53) as f64
}
