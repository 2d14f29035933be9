//! Ages grow with the steady clock, and by the whole of a suspension.
#![cfg(feature = "testing")]

use std::time::{Duration, Instant};

use juniper_clock::testing::suspend;
use juniper_clock::{BootInstant, SuspensionWatch};

#[test]
fn an_age_counts_the_time_awake_and_the_time_asleep() {
    let mut watch = SuspensionWatch::default();
    let (steady, boot) = (Instant::now(), BootInstant::now());
    std::thread::sleep(Duration::from_millis(30));
    let awake = boot.elapsed();
    assert!(
        awake >= Duration::from_millis(30) && awake <= steady.elapsed() + Duration::from_millis(5)
    );
    assert_eq!(watch.look(), None, "it was awake");
    suspend(Duration::from_secs(10));
    let asleep = watch.look().expect("it was suspended");
    assert!(asleep.abs_diff(Duration::from_secs(10)) < Duration::from_millis(100), "{asleep:?}");
    assert_eq!(watch.look(), None, "told once");
    assert!(boot.elapsed() >= Duration::from_secs(10) + Duration::from_millis(30));
    assert!(steady.elapsed() < Duration::from_secs(10));
    let later = boot + Duration::from_secs(3_600);
    assert_eq!(
        (boot.since(later), later.since(boot)),
        (Duration::ZERO, Duration::from_secs(3_600))
    );
    assert_eq!(later.before(Duration::from_secs(3_600)), boot);
}
