//! More prompts than the servers can read in time.

mod support;

use std::collections::HashMap;

use juniper_placement::{Choice, Outcome, Placement, Ticket};
use juniper_registry::InstanceId;

use support::{at, choose, placement, prompt};

/// Sends a prompt that nobody has seen.
fn send(placement: &mut Placement, number: u64, millis: u64) -> (Choice, Ticket) {
    let choice = choose(placement, &prompt(number, 1), millis);
    let ticket = placement.begin(&choice, true, at(millis));
    (choice, ticket)
}

/// The first `count` prompts in time of each server have had their first output, one after the
/// other.
fn read(placement: &mut Placement, sent: Vec<(Choice, Ticket)>, count: u64) {
    let mut read_at: HashMap<InstanceId, u64> = HashMap::new();
    for (choice, mut ticket) in sent.into_iter().filter(|(choice, _)| !choice.is_late) {
        let before = read_at.entry(choice.instance).or_default();
        *before += 1;
        if *before <= count {
            placement.first_output(&mut ticket, at(*before * 175));
        }
    }
}

/// A prompt of 7,000 tokens is read in 175 ms: four of them within the objective of 800 ms. Those that
/// come at once beyond that are late anyway and make none of the later ones late.
#[test]
fn what_can_not_be_in_time_gives_way_to_what_can() {
    let mut placement = placement(2);
    let sent: Vec<(Choice, Ticket)> =
        (0..12).map(|number| send(&mut placement, number, 0)).collect();
    let late: Vec<bool> = sent.iter().map(|(choice, _)| choice.is_late).collect();
    assert_eq!(late.iter().filter(|late| !**late).count(), 8, "four on each server: {late:?}");
    assert!(late[8..].iter().all(|late| *late));
    // Half a second later some of the queue is read, and a new prompt is in time.
    read(&mut placement, sent, 2);
    assert!(!send(&mut placement, 20, 500).0.is_late);
}

/// Nobody waits for a late prompt, so it doesn't count as a queue, here or at other routers.
#[test]
fn late_prompts_are_told_of_without_a_place_in_the_queue() {
    let (mut here, mut elsewhere) = (placement(1), placement(1));
    let sent: Vec<(Choice, Ticket)> = (0..8).map(|number| send(&mut here, number, 0)).collect();
    for (choice, _) in &sent {
        let sighting = choice.sighting();
        assert_eq!(sighting.read_tokens == 0, choice.is_late);
        elsewhere.sighted(&sighting, at(0));
    }
    // Four were read after 700 ms; the other four wait until nobody else does.
    read(&mut here, sent, 4);
    for router in [&mut here, &mut elsewhere] {
        assert!(!choose(router, &prompt(100, 1), 750).is_late);
    }
}

/// The time of a prompt that gave way says nothing of its server.
#[test]
fn late_prompts_do_not_make_their_server_look_slow() {
    let mut placement = placement(1);
    let sent: Vec<(Choice, Ticket)> =
        (0..8).map(|number| send(&mut placement, number, 0)).collect();
    let (late, in_time): (Vec<_>, Vec<_>) = sent.into_iter().partition(|sent| sent.0.is_late);
    read(&mut placement, in_time, 4);
    for (_, mut ticket) in late {
        placement.first_output(&mut ticket, at(6_000));
        placement.end(ticket, Outcome::Answered, at(6_000));
    }
    assert!(!choose(&mut placement, &prompt(200, 1), 6_001).is_late);
}
