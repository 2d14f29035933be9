//! Messages, records of the log and a snapshot that the build of eec3578 wrote, read by this one; and
//! messages of kinds that this build doesn't know. docs/design/mixed-builds.md has the promise.

use std::collections::HashMap;

use juniper_control_state::{Answer, Command, ControlState};
use juniper_protocol::message::{Message, decode_message, encode};
use juniper_protocol::{PeerIdentity, Push, Reply, Request};
use juniper_registry::{InstanceId, InstanceName, StartTime};
use juniper_types::NodeId;

/// Lines of a name and bytes in hexadecimal.
const KEPT: &str = include_str!("kept/eec3578.txt");

fn kept() -> HashMap<&'static str, Vec<u8>> {
    let bytes = |text: &str| {
        let digits = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("hex"));
        digits.map(|pair| u8::from_str_radix(pair, 16).expect("hex")).collect()
    };
    let line = |line: &'static str| line.split_once(' ').map(|(name, hex)| (name, bytes(hex)));
    KEPT.lines().filter_map(line).collect()
}

fn message(name: &str) -> Message {
    decode_message(&kept()[name]).expect("it is read")
}

#[test]
fn every_message_is_read_and_says_what_it_said() {
    let Message::Push(Push::Instances { observed, is_complete, removed }) = message("instances")
    else {
        panic!("servers");
    };
    assert_eq!(
        (observed[0].report.sequence, observed[0].age_ms, is_complete, removed.len()),
        (41, 1_234, true, 0)
    );
    assert_eq!(observed[0].report.id(), InstanceId::new("i-7f3a91c2"));
    let Message::Push(Push::Fleet(news)) = message("fleet") else { panic!("news") };
    let departed = ["i-1", "i-2"].map(InstanceId::new);
    assert_eq!((news.departed(), news.member_zones.len()), (departed.to_vec(), 0));
    assert!(news.quarantine.is_some_and(|news| news.is_complete));
    let Message::Push(Push::Renewals(news)) = message("renewals") else { panic!("renewals") };
    assert_eq!(news.renewing_ids(), [InstanceId::new("i-1")]);
    assert_eq!(news.ended_ids(), [InstanceId::new("i-3")]);
    assert_eq!((news.versions[0].id(), news.versions[0].version), (InstanceId::new("i-2"), 3));
    let Message::RouterUpdate(news) = message("router_news") else { panic!("news of a router") };
    assert_eq!(
        (news.dispatches[0].request_number, news.ended_requests.as_slice()),
        (77, [76].as_slice())
    );
    assert_eq!(news.reachability[0].id(), InstanceId::new("i-2"));
    let crashes = news.crashes.clone().expect("a crash");
    assert_eq!(crashes.crashes[0].id(), InstanceId::new("i-3"));
    assert_eq!(crashes.cleared[0].ids(), [InstanceId::new("i-4")]);
    let Message::RelayedUpdate(told) = message("relayed") else { panic!("relayed") };
    assert_eq!((told[0].from, &told[0].update), (NodeId(3), &news));
    for (name, call) in [("follow", 1), ("confirm", 2), ("listen", 3), ("quarantine", 4)] {
        let Message::Request { call: read, request } = message(name) else { panic!("{name}") };
        assert_eq!(read, call);
        assert!(!matches!(request, Request::FollowFleet { .. }));
    }
    let Message::Reply { reply, .. } = message("confirmed") else { panic!("a reply") };
    assert_eq!(reply, Reply::Confirmed { age_ms: 3, revision: 9, routers: 4 });
    let identity: PeerIdentity = minicbor::decode(&kept()["identity"]).expect("an identity");
    assert_eq!(identity.node, NodeId(7));
}

/// What this build writes of what that one knows is the same to the byte, so that build reads it.
#[test]
fn messages_without_anything_new_are_written_as_that_build_wrote_them() {
    for name in ["follow", "confirm", "listen", "quarantine", "confirmed", "refused"] {
        assert_eq!(encode(&message(name)), kept()[name], "{name}");
    }
}

#[test]
fn its_log_and_its_snapshot_lead_to_the_same_state() {
    let kept = kept();
    let mut state = ControlState::default();
    for (index, name) in ["put", "weights", "depart", "lease", "quarantined"].iter().enumerate() {
        let record = &kept[format!("log_{name}").as_str()];
        let command: Command = minicbor::decode(record).expect("a record");
        state.apply(index as u64 + 1, command);
    }
    // A departure without a start time takes every incarnation away, as that build meant it.
    let later = InstanceId::started_at(InstanceName::new("i-1"), StartTime::from_unix_ms(9));
    assert!(state.fleet().has_departed(&InstanceId::new("i-1")));
    assert!(state.fleet().has_departed(&later));
    let read = ControlState::from_snapshot(&kept["snapshot"]).expect("a snapshot");
    assert_eq!(read, state);
    let again = ControlState::from_snapshot(&read.to_snapshot()).expect("a snapshot");
    assert_eq!(again, state);
    let lease = state.apply(9, Command::TakeOrderLease { node: NodeId(2) });
    assert!(matches!(lease, Answer::OrderLease(lease) if lease.token == 2));
}

/// A message as a later build might write it: a kind, or a field, that this one doesn't know.
fn later(number: u32, fields: impl FnOnce(&mut minicbor::Encoder<&mut Vec<u8>>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    encoder.array(2).and_then(|encoder| encoder.u32(number)).expect("memory");
    fields(&mut encoder);
    bytes
}

#[test]
fn messages_of_later_builds_are_passed_over_and_their_calls_answered() {
    let kind = later(77, |encoder| {
        encoder.array(1).and_then(|encoder| encoder.str("what")).expect("memory");
    });
    assert_eq!(decode_message(&kind).expect("passed over"), Message::Unknown { call: None });
    let call = later(1, |encoder| {
        encoder.array(2).and_then(|encoder| encoder.u64(5)).expect("memory");
        encoder.array(2).and_then(|encoder| encoder.u32(500)).expect("memory");
        encoder.array(0).expect("memory");
    });
    assert_eq!(decode_message(&call).expect("answered"), Message::Unknown { call: Some(5) });
    let push = later(3, |encoder| {
        encoder.array(1).and_then(|encoder| encoder.array(2)).expect("memory");
        encoder.u32(99).and_then(|encoder| encoder.array(0)).expect("memory");
    });
    assert_eq!(decode_message(&push).expect("passed over"), Message::Unknown { call: None });
    // A field more in a known kind is passed over with the kind understood.
    let field = later(1, |encoder| {
        encoder.array(3).and_then(|encoder| encoder.u64(6)).expect("memory");
        encoder.array(2).and_then(|encoder| encoder.u32(12)).expect("memory");
        encoder.array(0).and_then(|encoder| encoder.bool(true)).expect("memory");
    });
    let expected = Message::Request { call: 6, request: Request::Confirm };
    assert_eq!(decode_message(&field).expect("read"), expected);
}

#[test]
fn bytes_that_are_no_message_are_refused() {
    let whole = encode(&Message::Request { call: 1, request: Request::Confirm });
    for length in 0..whole.len() {
        assert!(decode_message(&whole[..length]).is_err(), "{length} bytes");
    }
    let mut more = whole.clone();
    more.push(0);
    more[1] = 0x18;
    assert!(decode_message(&more).is_err());
    assert!(decode_message(&[0xff; 9]).is_err());
    assert!(decode_message(b"").is_err());
}
