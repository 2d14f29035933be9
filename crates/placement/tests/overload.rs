//! More prompts than the servers can compute in time.

mod support;

use std::collections::HashMap;

use juniper_placement::{Choice, Outcome, Placement, Ticket};
use juniper_registry::InstanceId;

use support::{at, choose, placement, prompt};

/// Sends a prompt without cached segments.
fn send(placement: &mut Placement, number: u64, millis: u64) -> (Choice, Ticket) {
    let choice = choose(placement, &prompt(number, 1), millis);
    let ticket = placement.begin_request(&choice, true, at(millis));
    (choice, ticket)
}

/// Records the first output of the first `count` prompts in time on each server, one after another.
fn prefill(placement: &mut Placement, sent: Vec<(Choice, Ticket)>, count: u64) {
    let mut prefilled: HashMap<InstanceId, u64> = HashMap::new();
    for (choice, mut ticket) in sent.into_iter().filter(|(choice, _)| !choice.is_late) {
        let before = prefilled.entry(choice.instance).or_default();
        *before += 1;
        if *before <= count {
            placement.record_first_output(&mut ticket, at(*before * 175));
        }
    }
}

/// The prefill of a prompt of 7,000 tokens takes 175 ms, so four fit within the objective of 800
/// ms. Further prompts are late and must not delay subsequent ones.
#[test]
fn late_prompts_yield_to_prompts_in_time() {
    let mut placement = placement(2);
    let sent: Vec<(Choice, Ticket)> =
        (0..12).map(|number| send(&mut placement, number, 0)).collect();
    let late: Vec<bool> = sent.iter().map(|(choice, _)| choice.is_late).collect();
    assert_eq!(late.iter().filter(|late| !**late).count(), 8, "four per server: {late:?}");
    assert!(late[8..].iter().all(|late| *late));
    // Half a second later part of the queue is done, and a new prompt is in time.
    prefill(&mut placement, sent, 2);
    assert!(!send(&mut placement, 20, 500).0.is_late);
}

/// Late prompts run after all others, so they don't count as queued on this router or on others.
#[test]
fn late_prompts_are_reported_without_queued_tokens() {
    let (mut here, mut elsewhere) = (placement(1), placement(1));
    let sent: Vec<(Choice, Ticket)> = (0..8).map(|number| send(&mut here, number, 0)).collect();
    for (choice, _) in &sent {
        let dispatch = choice.dispatch_record();
        assert_eq!(dispatch.prefill_tokens == 0, choice.is_late);
        elsewhere.apply_untracked_dispatch(&dispatch, at(0));
    }
    // Four prompts are done after 700 ms; the other four wait until the queue is empty.
    prefill(&mut here, sent, 4);
    for router in [&mut here, &mut elsewhere] {
        assert!(!choose(router, &prompt(100, 1), 750).is_late);
    }
}

/// The delay of a late prompt says nothing about its server.
#[test]
fn late_prompts_do_not_count_as_server_delay() {
    let mut placement = placement(1);
    let sent: Vec<(Choice, Ticket)> =
        (0..8).map(|number| send(&mut placement, number, 0)).collect();
    let (late, in_time): (Vec<_>, Vec<_>) = sent.into_iter().partition(|sent| sent.0.is_late);
    prefill(&mut placement, in_time, 4);
    for (_, mut ticket) in late {
        placement.record_first_output(&mut ticket, at(6_000));
        placement.end_request(ticket, Outcome::Answered, at(6_000));
    }
    assert!(!choose(&mut placement, &prompt(200, 1), 6_001).is_late);
}
