//! Advancing of the claim horizon.

use juniper_control::replica::next_horizon;

const DAY: u64 = 86_400;
const NOW: u64 = 1_800_000_000;

#[test]
fn horizon_is_the_current_time_minus_the_retention() {
    assert_eq!(next_horizon(0, NOW, DAY), Some(NOW - DAY));
    assert_eq!(next_horizon(NOW - DAY, NOW + 60, DAY), Some(NOW - DAY + 60));
}

#[test]
fn horizon_never_moves_back() {
    assert_eq!(next_horizon(NOW - DAY, NOW, DAY), None);
    assert_eq!(next_horizon(NOW - DAY, NOW - DAY, DAY), None);
    assert_eq!(next_horizon(0, 10, DAY), None);
}

#[test]
fn clock_years_ahead_advances_the_horizon_by_minutes_only() {
    let years_ahead = NOW + 5 * 365 * DAY;
    assert_eq!(next_horizon(NOW - DAY, years_ahead, DAY), Some(NOW - DAY + 600));
}
