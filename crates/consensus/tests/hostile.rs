//! Malformed and hostile input: no panic, no unbounded allocation, no effect on the state.

mod support;

use juniper_consensus::{
    Body, Entry, Membership, Message, Payload, Position, Replica, SnapshotMeta,
};
use juniper_types::NodeId;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{Cluster, config, id, initial_disk, zone};

const CASES: u64 = 3_000;
const SEED: u64 = 0x0bad;

fn random(size: usize) -> Gen {
    Gen::from_size_and_seed(size, SEED)
}

/// Message that a faulty or hostile peer could send.
#[derive(Clone, Debug)]
struct HostileMessage(Message);

fn small_number(random: &mut Gen) -> u64 {
    u64::from(u8::arbitrary(random) % 6)
}

fn arbitrary_number(random: &mut Gen) -> u64 {
    *random.choose(&[0, 1, 2, 3, 7, u64::MAX - 1, u64::MAX]).unwrap()
}

fn arbitrary_position(random: &mut Gen) -> Position {
    Position { term: arbitrary_number(random), index: arbitrary_number(random) }
}

fn arbitrary_entries(random: &mut Gen) -> Vec<Entry> {
    let payload = |random: &mut Gen| match small_number(random) {
        0 => Payload::Membership(Membership::default()),
        1 => Payload::Empty,
        _ => Payload::Data(Vec::arbitrary(random)),
    };
    let start = arbitrary_number(random);
    let count = small_number(random);
    let entry = |random: &mut Gen, offset: u64| {
        let index = start.saturating_add(offset);
        Entry { term: small_number(random), index, payload: payload(random) }
    };
    (0..count).map(|offset| entry(random, offset)).collect()
}

fn arbitrary_body(random: &mut Gen) -> Body {
    let (last, number) = (arbitrary_position(random), arbitrary_number(random));
    match u8::arbitrary(random) % 15 {
        0 => Body::PreVoteRequest { last },
        1 => Body::PreVoteReply { granted: bool::arbitrary(random) },
        2 => Body::VoteRequest { last, transfer: bool::arbitrary(random) },
        3 => Body::VoteReply { granted: bool::arbitrary(random) },
        4 | 5 => {
            Body::Append { previous: last, entries: arbitrary_entries(random), commit: number }
        }
        6 => Body::AppendReply { matched: number },
        7 => Body::AppendReject { previous: number, hint: last },
        8 => Body::Heartbeat { commit: number, read_round: arbitrary_number(random) },
        9 => Body::HeartbeatReply { read_round: number },
        10 => Body::SnapshotChunk {
            meta: SnapshotMeta { position: last, membership: Membership::default() },
            total: number,
            offset: arbitrary_number(random),
            data: Vec::arbitrary(random),
        },
        11 => Body::SnapshotReply { index: number, offset: arbitrary_number(random) },
        12 => Body::TakeOver,
        13 => Body::ReadReply { session: number, context: small_number(random), index: number },
        _ => Body::ReadRequest { session: number, context: small_number(random) },
    }
}

impl Arbitrary for HostileMessage {
    fn arbitrary(random: &mut Gen) -> Self {
        let node = 1 + small_number(random) % 4;
        let epoch = initial_disk(&voters()).hard_state.epoch;
        HostileMessage(Message {
            from: id(node, node.into()),
            to: NodeId(1),
            to_disk: None,
            epoch,
            term: small_number(random),
            body: arbitrary_body(random),
        })
    }
}

fn voters() -> Membership {
    let voters = (1..=3).map(|node| (id(node, node.into()), zone(node)));
    Membership::of_voters(juniper_consensus::ClusterEpoch::first(7), voters)
}

#[test]
fn arbitrary_messages_cause_no_panic() {
    fn property(messages: Vec<HostileMessage>) -> bool {
        let mut replica = Replica::new(config(id(1, 1)), initial_disk(&voters()), 3);
        for HostileMessage(message) in messages {
            replica.step(message);
            replica.tick();
            let ready = replica.ready();
            if let Some(write) = ready.write {
                replica.persisted(write.number);
            }
        }
        replica.status().applied <= replica.status().commit
    }
    let mut check = QuickCheck::new().rng(random(60)).tests(CASES);
    check.quickcheck(property as fn(Vec<HostileMessage>) -> bool);
}

#[test]
fn arbitrary_bytes_fail_to_decode_or_round_trip() {
    fn property(bytes: Vec<u8>) -> bool {
        let Ok(message) = minicbor::decode::<Message>(&bytes) else { return true };
        minicbor::decode::<Message>(&minicbor::to_vec(&message).unwrap()).unwrap() == message
    }
    QuickCheck::new().rng(random(200)).tests(CASES).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn valid_messages_round_trip_and_corrupt_ones_cause_no_panic() {
    fn property(message: HostileMessage, at: usize, with: u8) -> bool {
        let mut bytes = minicbor::to_vec(&message.0).unwrap();
        let round_trips = minicbor::decode::<Message>(&bytes).unwrap() == message.0;
        let at = at % bytes.len();
        bytes[at] ^= with;
        minicbor::decode::<Message>(&bytes).ok();
        bytes.truncate(at);
        round_trips && minicbor::decode::<Message>(&bytes).is_err()
    }
    let mut check = QuickCheck::new().rng(random(60)).tests(CASES);
    check.quickcheck(property as fn(HostileMessage, usize, u8) -> bool);
}

#[test]
fn a_length_beyond_the_input_is_rejected_without_allocation() {
    let mut bytes = minicbor::to_vec(Payload::Data(vec![0; 4])).unwrap();
    let length_at = bytes.len() - 5;
    bytes.splice(length_at..=length_at, [0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]);
    assert!(minicbor::decode::<Payload>(&bytes).is_err());
}

#[test]
fn replies_from_an_unknown_disk_are_ignored() {
    let mut cluster = Cluster::of_voters(3);
    let leader = cluster.elect();
    let others: Vec<u64> = cluster.nodes.keys().copied().filter(|n| *n != leader).collect();
    cluster.partitioned.extend(&others);
    cluster.propose(leader, b"one");
    let status = cluster.node(leader).replica.status();
    for node in others {
        cluster.node(leader).replica.step(Message {
            from: id(node, 1_000),
            to: status.id.node,
            to_disk: Some(status.id.disk),
            epoch: status.epoch,
            term: status.term,
            body: Body::AppendReply { matched: status.last.index },
        });
    }
    cluster.run_until_idle();
    assert!(cluster.node(leader).applied.is_empty());
}
