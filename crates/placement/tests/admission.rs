//! What is served in time rises with what is offered and stays there.
//!
//! Servers read prompts one after another; a prompt that waits holds memory, so that less is kept of
//! what all prompts share and more has to be read again. When every prompt was sent, however long it
//! would wait, twice the load at which nearly all came in time made what came in time fall by nearly
//! half, and three times that load by more:
//!
//! ```text
//! offered a second             150     200     300     500
//! prompts served in time     3,536   3,563   1,973   1,584
//! ```

use std::time::Duration;

use juniper_placement::StartEstimate;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const OBJECTIVE: Duration = Duration::from_millis(800);

fn prospect(first_output_ms: f64, wait_ms: f64) -> StartEstimate {
    StartEstimate { first_output_ms, wait_ms }
}

#[test]
fn what_begins_well_in_time_is_sent_without_a_look_at_other_servers() {
    let looked = || panic!("it costs a look at every server");
    assert_eq!(prospect(300.0, 290.0).overload(1, OBJECTIVE, looked), None);
}

#[test]
fn a_long_prompt_is_sent_while_servers_have_room_and_refused_when_they_have_none() {
    let long = prospect(700.0, 0.0);
    assert_eq!(long.overload(1, OBJECTIVE, || 10.0), None);
    let overload = long.overload(1, OBJECTIVE, || 100.0).expect("it would make others wait");
    assert_eq!((overload.limit_ms, overload.least_waits_ms), (320.0, 100.0));
    assert_eq!(overload.excess(), Duration::from_millis(380));
}

#[test]
fn behind_a_long_wait_a_prompt_is_refused_though_other_servers_have_room() {
    assert!(prospect(400.0, 350.0).overload(1, OBJECTIVE, || 0.0).is_some());
}

#[test]
fn the_less_urgent_are_refused_first() {
    let waits = prospect(380.0, 370.0);
    assert!(waits.overload(1, OBJECTIVE, || 100.0).is_some());
    assert_eq!(waits.overload(0, OBJECTIVE, || 100.0), None);
}

/// Servers of a small model of an engine: they read in order of arrival, and waiting prompts push
/// out what is kept.
struct Servers {
    /// When each has read all that it was sent, in milliseconds.
    free_at: Vec<f64>,
}

/// Time to read a prompt whose shared part is kept, and one whose isn't, in milliseconds.
const KEPT_MS: f64 = 75.0;
const WHOLE_MS: f64 = 240.0;

/// Wait at a server beyond which it keeps no shared parts any more, in milliseconds.
const KEEPS_UP_TO_MS: f64 = 1_000.0;

impl Servers {
    /// Prompts that begin in time of those that come evenly in `seconds` at `per_second`.
    fn in_time(per_second: f64, seconds: f64, refuses: bool) -> usize {
        let mut servers = Servers { free_at: vec![0.0; 12] };
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let offered = (per_second * seconds) as usize;
        let sent = (0..offered).map(|number| {
            let now = number as f64 / per_second * 1_000.0;
            servers.send(now, random.random_range(0.5..1.5), refuses)
        });
        sent.filter(|in_time| *in_time).count()
    }

    fn send(&mut self, now: f64, size: f64, refuses: bool) -> bool {
        let waits: Vec<f64> = self.free_at.iter().map(|at| (at - now).max(0.0)).collect();
        let (place, wait) = waits
            .iter()
            .copied()
            .enumerate()
            .min_by(|one, other| one.1.total_cmp(&other.1))
            .expect("there are servers");
        let pushed_out = (wait / KEEPS_UP_TO_MS).min(1.0);
        let reading = size * (KEPT_MS + (WHOLE_MS - KEPT_MS) * pushed_out);
        let first_output_ms = wait + reading;
        let overload = prospect(first_output_ms, wait).overload(1, OBJECTIVE, || wait);
        if refuses && overload.is_some() {
            return false;
        }
        self.free_at[place] = now + first_output_ms;
        first_output_ms <= OBJECTIVE.as_secs_f64() * 1_000.0
    }
}

#[test]
fn what_is_served_in_time_stays_where_the_servers_are_full() {
    let served = |per_second, refuses| Servers::in_time(per_second, 34.0, refuses);
    let at_knee = served(140.0, true);
    assert!(at_knee as f64 > 0.95 * 140.0 * 34.0, "{at_knee}");
    for per_second in [200.0, 300.0, 500.0] {
        let (with, without) = (served(per_second, true), served(per_second, false));
        println!("{per_second} a second: {with} in time, {without} if all are sent");
        assert!(with as f64 >= 0.95 * at_knee as f64, "{per_second}: {with} of {at_knee}");
        assert!(without < at_knee / 2, "{per_second}: sending all collapses: {without}");
    }
}
