//! Time of a choice as the number of servers grows.

mod support;

use std::time::{Duration, Instant};

use support::{at, choose, placement, prompt, request};

/// Number of rounds; the fastest one counts, to exclude noise from other processes.
const ROUNDS: usize = 40;

fn choice_time(servers: u16) -> Duration {
    let mut placement = placement(servers);
    choose(&mut placement, &prompt(1, 1), 0);
    let prompt = prompt(1, 2);
    let round = || {
        let started_at = Instant::now();
        placement.choose(&request(&prompt, &[]), at(10), 7).expect("a server");
        started_at.elapsed()
    };
    (0..ROUNDS).map(|_| round()).min().expect("rounds")
}

/// Guards against a search for transfer sources in quadratic time.
#[test]
fn choice_time_grows_at_most_linearly_with_servers() {
    let (few, many) = (choice_time(64), choice_time(1_024));
    assert!(many < few * 50, "64 servers {few:?}, 1,024 servers {many:?}");
}
