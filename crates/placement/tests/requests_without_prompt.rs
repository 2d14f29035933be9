//! Placement of requests without a prompt, by the reported load of all routers.

mod support;

use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{Choice, Outcome, Placement, ReportedRequest, ServerRequest};
use juniper_registry::Instance;
use juniper_types::NodeId;

use support::{SERVICE, at, instance};

fn request() -> ServerRequest<'static> {
    ServerRequest {
        service: SERVICE,
        prompt: None,
        sharing_key: 0,
        excluded: &[],
        software: None,
        excludes_limited: false,
        rank: 1,
        may_be_refused: false,
        min_version: 0,
        objective: Duration::from_millis(300),
        time_left: Duration::from_millis(300),
        max_gap: None,
    }
}

/// A placement in the zone of the first of two servers with six slots each.
fn near_and_far_server() -> Placement {
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
    placement.choose(&request(), at(millis), millis).expect("a server")
}

/// Reports 100 completed requests and `in_flight` unfinished ones of other routers on the near
/// server.
fn report_peer_requests(placement: &mut Placement, in_flight: usize) -> Choice {
    let near = choose(placement, 0);
    let request = |number| ReportedRequest { router: NodeId(5), number };
    for number in 0..100 {
        placement.apply_peer_dispatch(
            request(number),
            &near.dispatch_record(),
            at(u64::from(number)),
        );
        placement.apply_peer_completion(request(number), at(u64::from(number)));
    }
    (0..in_flight)
        .for_each(|_| placement.apply_untracked_dispatch(&near.dispatch_record(), at(1_000)));
    near
}

#[test]
fn congested_server_is_avoided_for_one_in_another_zone() {
    let mut placement = near_and_far_server();
    let near = report_peer_requests(&mut placement, 6);
    assert_ne!(choose(&placement, 1_050).instance, near.instance);
}

#[test]
fn completed_requests_do_not_count_as_load() {
    let mut placement = near_and_far_server();
    let near = report_peer_requests(&mut placement, 1);
    assert_eq!(choose(&placement, 1_050).instance, near.instance);
}

/// The router of the request crashed, or its report was lost.
#[test]
fn request_without_reported_end_expires() {
    let mut placement = near_and_far_server();
    let near = report_peer_requests(&mut placement, 6);
    assert_ne!(choose(&placement, 10_900).instance, near.instance);
    assert_eq!(choose(&placement, 11_000).instance, near.instance);
}

#[test]
fn own_request_counts_until_it_ends() {
    let mut placement = near_and_far_server();
    let near = choose(&placement, 0);
    let tickets: Vec<_> = (0..6).map(|_| placement.begin_request(&near, false, at(0))).collect();
    assert_ne!(choose(&placement, 50).instance, near.instance);
    tickets.into_iter().for_each(|ticket| placement.end_request(ticket, Outcome::Answered, at(60)));
    assert_eq!(choose(&placement, 70).instance, near.instance);
}

/// A restarted router receives the ends of requests whose dispatch reports it has missed. If they
/// counted for other requests, a congested server would look idle.
#[test]
fn end_of_an_unknown_request_changes_nothing() {
    let mut placement = near_and_far_server();
    let near = report_peer_requests(&mut placement, 6);
    (1_000..1_050).for_each(|number| {
        placement.apply_peer_completion(ReportedRequest { router: NodeId(5), number }, at(1_050));
    });
    assert_ne!(choose(&placement, 1_050).instance, near.instance);
}
