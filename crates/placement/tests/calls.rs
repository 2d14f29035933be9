//! Servers without prompts: their load is known from what all routers send them.

mod support;

use std::time::Duration;

use juniper_placement::{Choice, Outcome, Placement, ServerRequest};
use juniper_registry::Instance;

use support::{SERVICE, at, instance};

fn call() -> ServerRequest<'static> {
    ServerRequest {
        service: SERVICE,
        prompt: None,
        sharing: 0,
        excluded: &[],
        min_version: 0,
        objective: Duration::from_millis(300),
        max_pause: None,
    }
}

/// A router in the zone of the first of two servers with six slots each.
fn near_and_far() -> Placement {
    let server = |number: u16, zone: &str| {
        let mut server: Instance = instance(number, 1);
        (server.report.slots, server.report.zone) = (6, zone.to_owned());
        server
    };
    let mut placement = Placement::new("north");
    placement.set_instances(&[server(1, "north"), server(2, "south")]);
    placement
}

fn choose(placement: &Placement, millis: u64) -> Choice {
    placement.choose(&call(), at(millis), millis).expect("a server")
}

/// Five own calls of 60 ms each, long before what a test looks at.
fn learn_duration(placement: &mut Placement) {
    for millis in (0..5).map(|number| number * 100) {
        let choice = choose(placement, millis);
        let ticket = placement.begin(&choice, false, at(millis));
        placement.end(ticket, Outcome::Answered, at(millis + 60));
    }
}

/// The others send so many calls a second to the near server, for two seconds.
fn others_send(placement: &mut Placement, per_second: u64) -> Choice {
    learn_duration(placement);
    let near = choose(placement, 60_000);
    for number in 0..2 * per_second {
        placement.sighted(&near.sighting(), at(60_000 + number * 1_000 / per_second));
    }
    near
}

#[test]
fn a_server_that_the_others_crowd_is_left_for_one_in_another_zone() {
    let mut placement = near_and_far();
    let near = others_send(&mut placement, 90);
    assert_ne!(choose(&placement, 62_000).instance, near.instance, "5.4 of 6 slots are taken");
}

/// What calls take is learnt from a few of them: a router makes one a second.
#[test]
fn a_server_with_room_is_kept_to() {
    let mut placement = near_and_far();
    let near = others_send(&mut placement, 15);
    assert_eq!(choose(&placement, 62_000).instance, near.instance, "0.9 of 6 slots are taken");
}
