//! Keys that were revoked are honoured by no router longer than allowed, in virtual time: replicas and
//! routers behind cuts of zones, restarts, freezes, delayed messages and clocks of any age.

mod fleet;

use fleet::{Fault, Fleet};

const SEEDS: u64 = 100;

#[test]
fn a_revoked_key_is_honoured_behind_a_cut() {
    for seed in 0..SEEDS {
        let violations = Fleet::new(seed, None).run();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// Each fault is one that the check must notice.
#[test]
fn the_check_notices_planted_faults() {
    for fault in [Fault::ClampedToTheStart, Fault::CountedFromTheReply, Fault::WithoutTheRevision] {
        let caught = (0..SEEDS).filter(|seed| !Fleet::new(*seed, Some(fault)).run().is_empty());
        let caught = caught.count();
        println!("{fault:?}: {caught} of {SEEDS} seeds");
        assert!(caught > 0, "{fault:?}");
    }
}
