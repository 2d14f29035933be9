//! Calls without prompts from many routers, beyond what the servers can process.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use juniper_placement::{
    Choice, Outcome, Placement, Prompt, ReportedRequest, ServerRequest, ServiceProfile, Ticket,
};
use juniper_registry::{Instance, InstanceMap};
use juniper_types::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use support::{SERVICE, at, instance};

const SERVERS: u16 = 6;
const SLOTS: usize = 6;
const PROCESSING_MS: u64 = 60;
const OBJECTIVE_MS: u64 = 300;
const ROUTERS: usize = 24;
const SECONDS: u64 = 6;

/// What happens at a time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call,
    /// The answer of a call arrives at its router.
    Answer(usize),
    /// The other routers get the dispatch report of a call.
    Dispatched(usize),
    /// The other routers get the report of its end.
    Ended(usize),
}

/// A call that was sent.
struct Sent {
    router: usize,
    choice: Choice,
    ticket: Option<Ticket>,
}

fn router() -> Placement {
    let servers = (1..=SERVERS).map(|number| {
        let mut server: Instance = instance(number, 1);
        Arc::make_mut(&mut server.report).slots = SLOTS as u32;
        Arc::new(server)
    });
    let mut placement = Placement::new("north");
    placement.set_instances(&servers.collect::<InstanceMap>());
    let profile = ServiceProfile { is_tight: true, ..ServiceProfile::default() };
    placement.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
    placement
}

/// Calls answered in time per second, after the first second.
fn in_time(per_second: u64) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut routers = vec![router(); ROUTERS];
    let mut free_at: HashMap<String, [u64; SLOTS]> = HashMap::new();
    let (mut sent, mut in_time): (Vec<Sent>, u64) = (Vec::new(), 0);
    // Routers get to know the latency in the first second, with spare capacity.
    let calls = (0..450 + per_second * (SECONDS - 1)).map(|number| match number {
        ..450 => random.random_range(0..1_000),
        _ => random.random_range(1_000..SECONDS * 1_000),
    });
    let mut events: BinaryHeap<_> = calls.map(|now| Reverse((now, Event::Call))).collect();
    let nothing = Prompt::default();
    let request = support::request(&nothing, &[]);
    let objective = std::time::Duration::from_millis(OBJECTIVE_MS);
    let request = ServerRequest {
        prompt: None,
        may_be_refused: true,
        objective,
        time_left: objective,
        ..request
    };
    while let Some(Reverse((now, event))) = events.pop() {
        let id = |index: usize| ReportedRequest {
            router: NodeId(sent[index].router as u64 + 1),
            number: index as u16,
        };
        match event {
            Event::Call => {
                let router = random.random_range(0..ROUTERS);
                let Ok(choice) = routers[router].choose(&request, at(now), random.random()) else {
                    continue;
                };
                let ticket = Some(routers[router].begin_request(&choice, false, at(now)));
                let slots = free_at.entry(choice.instance.as_str().to_owned()).or_default();
                let slot = slots.iter_mut().min().expect("slots");
                *slot = now.max(*slot) + PROCESSING_MS;
                in_time += u64::from(now >= 1_000 && *slot <= now + OBJECTIVE_MS);
                events.push(Reverse((*slot, Event::Answer(sent.len()))));
                // Reports arrive after 15 to 60 ms.
                let reported_at = now + random.random_range(15..60);
                events.push(Reverse((reported_at, Event::Dispatched(sent.len()))));
                sent.push(Sent { router, choice, ticket });
            }
            Event::Answer(index) => {
                let ticket = sent[index].ticket.take().expect("answered once");
                routers[sent[index].router].end_request(ticket, Outcome::Answered, at(now));
                events.push(Reverse((now + random.random_range(15..60), Event::Ended(index))));
            }
            Event::Dispatched(index) => {
                let record = sent[index].choice.dispatch_record();
                let others = routers.iter_mut().enumerate();
                others.filter(|(other, _)| *other != sent[index].router).for_each(
                    |(_, placement)| placement.apply_peer_dispatch(id(index), &record, at(now)),
                );
            }
            Event::Ended(index) => {
                routers
                    .iter_mut()
                    .for_each(|placement| placement.apply_peer_completion(id(index), at(now)));
            }
        }
    }
    in_time / (SECONDS - 1)
}

/// Guards against queues in which every answer is late. The servers can process 600 calls per
/// second.
#[test]
fn what_servers_can_do_is_answered_in_time_at_two_and_three_times_the_load() {
    for per_second in [600, 1_200, 1_800] {
        let in_time = in_time(per_second);
        println!("{per_second} per second: {in_time} in time");
        assert!(in_time >= 570, "{per_second} per second: {in_time}");
    }
}
