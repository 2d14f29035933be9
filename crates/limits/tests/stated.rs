//! What servers state of the requests that they take: what is believed, and what isn't.

use juniper_limits::{RateFault, RequestRate, StatedLimit};
use quickcheck::quickcheck;

fn read(values: &[&str]) -> StatedLimit {
    StatedLimit::read(values.iter().copied().map(Some))
}

fn rate(per_second: f64) -> StatedLimit {
    StatedLimit::Rate(RequestRate::of(per_second).expect("in range"))
}

#[test]
fn a_decimal_number_is_a_rate_and_nothing_is_no_limit() {
    assert_eq!(read(&[]), StatedLimit::Nothing);
    assert_eq!(read(&["1.6"]), rate(1.6));
    assert_eq!(read(&[" 12 "]), rate(12.0));
    assert_eq!(read(&["0.25"]), rate(0.25));
}

#[test]
fn the_same_rate_twice_is_one_and_two_rates_are_none() {
    assert_eq!(read(&["1.6", "1.60"]), rate(1.6));
    assert_eq!(read(&["1.6", "2.7"]), StatedLimit::Unreadable(RateFault::Several));
}

#[test]
fn what_no_server_can_mean_is_neither_a_limit_nor_none() {
    for text in ["", "many", "1,6", "1.6 a second", "0x10"] {
        assert_eq!(read(&[text]), StatedLimit::Unreadable(RateFault::NoNumber), "{text:?}");
    }
    for text in ["0", "-1.6", "-0", "inf", "-inf", "NaN", "1e300", "1e-300"] {
        assert_eq!(read(&[text]), StatedLimit::Unreadable(RateFault::OutOfRange), "{text:?}");
    }
    assert_eq!(StatedLimit::read([None]), StatedLimit::Unreadable(RateFault::NoNumber));
    assert_eq!(read(&["1.6", "none"]), StatedLimit::Unreadable(RateFault::NoNumber));
}

quickcheck! {
    fn any_text_is_read_as_a_rate_above_zero_or_not_at_all(text: String) -> bool {
        match read(&[&text]) {
            StatedLimit::Rate(rate) => rate.per_second() > 0.0 && rate.per_second().is_finite(),
            StatedLimit::Unreadable(_) => true,
            StatedLimit::Nothing => false,
        }
    }
}
