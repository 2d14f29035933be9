//! What a choice costs as the servers grow in number.

mod support;

use std::time::{Duration, Instant};

use support::{at, choose, placement, prompt, request};

/// Rounds of which the quickest counts: whatever else the machine does only adds time.
const ROUNDS: usize = 40;

fn time_of_a_choice(servers: u16) -> Duration {
    let mut placement = placement(servers);
    choose(&mut placement, &prompt(1, 1), 0);
    let prompt = prompt(1, 2);
    let round = || {
        let begun = Instant::now();
        placement.choose(&request(&prompt, &[]), at(10), 7).expect("a server");
        begun.elapsed()
    };
    (0..ROUNDS).map(|_| round()).min().expect("rounds")
}

/// Sixteen times the servers took 129 times as long while a source was looked for anew for
/// each of them.
#[test]
fn a_choice_costs_no_more_than_in_proportion_to_the_servers() {
    let (few, many) = (time_of_a_choice(64), time_of_a_choice(1_024));
    assert!(many < few * 50, "64 servers {few:?}, 1,024 servers {many:?}");
}
