//! Servers without prompts: their load is known from what all routers send them.

mod support;

use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{Choice, Outcome, Placement, ReportedRequest, ServerRequest};
use juniper_registry::Instance;
use juniper_types::NodeId;

use support::{SERVICE, at, instance};

fn call() -> ServerRequest<'static> {
    ServerRequest {
        service: SERVICE,
        prompt: None,
        sharing: 0,
        excluded: &[],
        spares_limited: false,
        rank: 1,
        may_be_refused: false,
        min_version: 0,
        objective: Duration::from_millis(300),
        time_left: Duration::from_millis(300),
        max_pause: None,
    }
}

/// A router in the zone of the first of two servers with six slots each.
fn near_and_far() -> Placement {
    let server = |number: u16, zone: &str| {
        let mut server: Instance = instance(number, 1);
        let report = Arc::make_mut(&mut server.report);
        (report.slots, report.zone) = (6, zone.to_owned());
        Arc::new(server)
    };
    let mut placement = Placement::new("north");
    placement.set_instances(&[server(1, "north"), server(2, "south")].into_iter().collect());
    placement
}

fn choose(placement: &Placement, millis: u64) -> Choice {
    placement.choose(&call(), at(millis), millis).expect("a server")
}

/// The others have so many calls under way on the near server, and many more behind them.
fn others_send(placement: &mut Placement, under_way: usize) -> Choice {
    let near = choose(placement, 0);
    let request = |number| ReportedRequest { router: NodeId(5), number };
    for number in 0..100 {
        placement.apply_peer_dispatch(request(number), &near.sighting(), at(u64::from(number)));
        placement.apply_peer_completion(request(number));
    }
    (0..under_way).for_each(|_| placement.sighted(&near.sighting(), at(1_000)));
    near
}

#[test]
fn a_server_that_the_others_crowd_is_left_for_one_in_another_zone() {
    let mut placement = near_and_far();
    let near = others_send(&mut placement, 6);
    assert_ne!(choose(&placement, 1_050).instance, near.instance);
}

#[test]
fn a_server_on_which_calls_have_ended_is_kept_to() {
    let mut placement = near_and_far();
    let near = others_send(&mut placement, 1);
    assert_eq!(choose(&placement, 1_050).instance, near.instance);
}

/// Its router was killed, or its word was lost.
#[test]
fn a_call_whose_end_nobody_tells_of_is_forgotten() {
    let mut placement = near_and_far();
    let near = others_send(&mut placement, 6);
    assert_ne!(choose(&placement, 10_900).instance, near.instance);
    assert_eq!(choose(&placement, 11_000).instance, near.instance);
}

#[test]
fn an_own_call_counts_until_it_ends() {
    let mut placement = near_and_far();
    let near = choose(&placement, 0);
    let tickets: Vec<_> = (0..6).map(|_| placement.begin(&near, false, at(0))).collect();
    assert_ne!(choose(&placement, 50).instance, near.instance);
    tickets.into_iter().for_each(|ticket| placement.end(ticket, Outcome::Answered, at(60)));
    assert_eq!(choose(&placement, 70).instance, near.instance);
}

/// A router that has just started hears of ends of requests whose beginnings it hasn't heard of. If
/// they counted for others, a crowded server would look free for as long as it stays crowded.
#[test]
fn the_end_of_a_request_that_was_never_heard_of_changes_nothing() {
    let mut placement = near_and_far();
    let near = others_send(&mut placement, 6);
    (1_000..1_050).for_each(|number| {
        placement.apply_peer_completion(ReportedRequest { router: NodeId(5), number });
    });
    assert_ne!(choose(&placement, 1_050).instance, near.instance);
}
