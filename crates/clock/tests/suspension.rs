//! Ages grow with the steady clock, and by the whole of a suspension.
#![cfg(feature = "testing")]

use std::time::{Duration, Instant};

use juniper_clock::BootInstant;
use juniper_clock::testing::suspend;

#[test]
fn an_age_counts_the_time_awake_and_the_time_asleep() {
    let (steady, boot) = (Instant::now(), BootInstant::now());
    std::thread::sleep(Duration::from_millis(30));
    let awake = boot.elapsed();
    assert!(
        awake >= Duration::from_millis(30) && awake <= steady.elapsed() + Duration::from_millis(5)
    );
    suspend(Duration::from_secs(10));
    assert!(boot.elapsed() >= Duration::from_secs(10) + Duration::from_millis(30));
    assert!(steady.elapsed() < Duration::from_secs(10));
    let later = boot + Duration::from_secs(3_600);
    assert_eq!(
        (boot.since(later), later.since(boot)),
        (Duration::ZERO, Duration::from_secs(3_600))
    );
    assert_eq!(later.before(Duration::from_secs(3_600)), boot);
}
