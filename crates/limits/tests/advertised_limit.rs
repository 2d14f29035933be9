//! Parsing of the limits that servers advertise.

use juniper_limits::{AdvertisedLimit, RateError, RequestRate};
use quickcheck::quickcheck;

fn parse(values: &[&str]) -> AdvertisedLimit {
    AdvertisedLimit::parse(values.iter().copied().map(Some))
}

fn rate(per_second: f64) -> AdvertisedLimit {
    AdvertisedLimit::Rate(RequestRate::new(per_second).expect("in range"))
}

#[test]
fn decimal_numbers_are_rates_and_no_value_is_no_limit() {
    assert_eq!(parse(&[]), AdvertisedLimit::Nothing);
    assert_eq!(parse(&["1.6"]), rate(1.6));
    assert_eq!(parse(&[" 12 "]), rate(12.0));
    assert_eq!(parse(&["0.25"]), rate(0.25));
}

#[test]
fn repeated_rates_are_accepted_and_conflicting_rates_are_invalid() {
    assert_eq!(parse(&["1.6", "1.60"]), rate(1.6));
    assert_eq!(parse(&["1.6", "2.7"]), AdvertisedLimit::Invalid(RateError::Conflicting));
}

#[test]
fn malformed_and_out_of_range_rates_are_invalid() {
    for text in ["", "many", "1,6", "1.6 a second", "0x10"] {
        assert_eq!(parse(&[text]), AdvertisedLimit::Invalid(RateError::NotANumber), "{text:?}");
    }
    for text in ["0", "-1.6", "-0", "inf", "-inf", "NaN", "1e300", "1e-300"] {
        assert_eq!(parse(&[text]), AdvertisedLimit::Invalid(RateError::OutOfRange), "{text:?}");
    }
    assert_eq!(AdvertisedLimit::parse([None]), AdvertisedLimit::Invalid(RateError::NotANumber));
    assert_eq!(parse(&["1.6", "none"]), AdvertisedLimit::Invalid(RateError::NotANumber));
}

quickcheck! {
    fn any_text_is_a_finite_positive_rate_or_invalid(text: String) -> bool {
        match parse(&[&text]) {
            AdvertisedLimit::Rate(rate) => rate.per_second() > 0.0 && rate.per_second().is_finite(),
            AdvertisedLimit::Invalid(_) => true,
            AdvertisedLimit::Nothing => false,
        }
    }
}
