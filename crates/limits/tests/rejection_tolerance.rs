//! Parsing of the rejections per second that a brittle server tolerates.

use juniper_limits::{RejectionTolerance, ToleranceError};

fn parse(values: &[&str]) -> RejectionTolerance {
    RejectionTolerance::parse(values.iter().map(|value| Some(*value)))
}

#[test]
fn whole_numbers_are_accepted() {
    assert_eq!(parse(&["3"]), RejectionTolerance::PerSecond(3));
    assert_eq!(parse(&[" 12 "]), RejectionTolerance::PerSecond(12));
    assert_eq!(parse(&["0"]), RejectionTolerance::PerSecond(0));
    assert_eq!(parse(&["4", "4"]), RejectionTolerance::PerSecond(4));
    assert_eq!(parse(&[]), RejectionTolerance::Nothing);
}

#[test]
fn invalid_values_are_told_apart() {
    let invalid =
        |values: &[&str], error| assert_eq!(parse(values), RejectionTolerance::Invalid(error));
    for text in ["", "x", "-1", "2.5", "inf", "NaN", "99999999999999999999"] {
        invalid(&[text], ToleranceError::NotANumber);
    }
    invalid(&["1000001"], ToleranceError::OutOfRange);
    invalid(&["99999999999"], ToleranceError::OutOfRange);
    invalid(&["2", "3"], ToleranceError::Conflicting);
    let not_text = RejectionTolerance::parse([None]);
    assert_eq!(not_text, RejectionTolerance::Invalid(ToleranceError::NotANumber));
}
