//! Parsing of the limits that servers advertise.

use juniper_limits::{RateError, RequestRate, StatedLimit};
use quickcheck::quickcheck;

fn parse(values: &[&str]) -> StatedLimit {
    StatedLimit::read(values.iter().copied().map(Some))
}

fn rate(per_second: f64) -> StatedLimit {
    StatedLimit::Rate(RequestRate::of(per_second).expect("in range"))
}

#[test]
fn decimal_numbers_are_rates_and_no_value_is_no_limit() {
    assert_eq!(parse(&[]), StatedLimit::Nothing);
    assert_eq!(parse(&["1.6"]), rate(1.6));
    assert_eq!(parse(&[" 12 "]), rate(12.0));
    assert_eq!(parse(&["0.25"]), rate(0.25));
}

#[test]
fn repeated_rates_are_accepted_and_conflicting_rates_are_invalid() {
    assert_eq!(parse(&["1.6", "1.60"]), rate(1.6));
    assert_eq!(parse(&["1.6", "2.7"]), StatedLimit::Unreadable(RateError::Conflicting));
}

#[test]
fn malformed_and_out_of_range_rates_are_invalid() {
    for text in ["", "many", "1,6", "1.6 a second", "0x10"] {
        assert_eq!(parse(&[text]), StatedLimit::Unreadable(RateError::NotANumber), "{text:?}");
    }
    for text in ["0", "-1.6", "-0", "inf", "-inf", "NaN", "1e300", "1e-300"] {
        assert_eq!(parse(&[text]), StatedLimit::Unreadable(RateError::OutOfRange), "{text:?}");
    }
    assert_eq!(StatedLimit::read([None]), StatedLimit::Unreadable(RateError::NotANumber));
    assert_eq!(parse(&["1.6", "none"]), StatedLimit::Unreadable(RateError::NotANumber));
}

quickcheck! {
    fn any_text_is_a_finite_positive_rate_or_invalid(text: String) -> bool {
        match parse(&[&text]) {
            StatedLimit::Rate(rate) => rate.per_second() > 0.0 && rate.per_second().is_finite(),
            StatedLimit::Unreadable(_) => true,
            StatedLimit::Nothing => false,
        }
    }
}
