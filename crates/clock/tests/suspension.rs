//! Ages include running time and suspensions.
#![cfg(feature = "testing")]

use std::time::{Duration, Instant};

use juniper_clock::testing::suspend;
use juniper_clock::{BootInstant, SuspensionWatch};

#[test]
fn ages_include_running_time_and_suspensions() {
    let mut watch = SuspensionWatch::default();
    let (monotonic, boot) = (Instant::now(), BootInstant::now());
    std::thread::sleep(Duration::from_millis(30));
    let running = boot.elapsed();
    assert!(
        running >= Duration::from_millis(30)
            && running <= monotonic.elapsed() + Duration::from_millis(5)
    );
    assert_eq!(watch.check(), None, "not suspended");
    suspend(Duration::from_secs(10));
    let suspended = watch.check().expect("suspension is detected");
    assert!(
        suspended.abs_diff(Duration::from_secs(10)) < Duration::from_millis(100),
        "{suspended:?}"
    );
    assert_eq!(watch.check(), None, "reported once");
    assert!(boot.elapsed() >= Duration::from_secs(10) + Duration::from_millis(30));
    assert!(monotonic.elapsed() < Duration::from_secs(10));
    let later = boot + Duration::from_secs(3_600);
    assert_eq!(
        (boot.since(later), later.since(boot)),
        (Duration::ZERO, Duration::from_secs(3_600))
    );
    assert_eq!(later.before(Duration::from_secs(3_600)), boot);
}

/// Guards against an age that another machine reports and that counts only from this machine's boot.
#[test]
fn an_instant_before_the_boot_of_the_machine_is_taken_for_the_boot() {
    let reported = BootInstant::now().before(Duration::from_secs(365 * 86_400));
    assert!(reported < BootInstant::BOOT);
    assert!(reported.elapsed() >= Duration::from_secs(365 * 86_400));
    let oldest = BootInstant::now().before(Duration::from_millis(u64::MAX));
    assert!(oldest < reported && oldest.elapsed() > reported.elapsed());
}
