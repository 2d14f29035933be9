//! Compatibility with earlier and later builds (docs/design/mixed-builds.md): data written by build
//! eec3578, and messages of unknown kinds.

use std::collections::HashMap;

use juniper_control_state::{Answer, Command, ControlState};
use juniper_protocol::message::{Message, decode_message, encode};
use juniper_protocol::{PeerIdentity, Push, Reply, Request};
use juniper_registry::{InstanceId, InstanceName, StartTime};
use juniper_types::NodeId;

/// Recorded data of build eec3578: one name and hexadecimal bytes a line.
const RECORDED: &str = include_str!("kept/eec3578.txt");

fn recorded() -> HashMap<&'static str, Vec<u8>> {
    let bytes = |text: &str| {
        let digits = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("hex"));
        digits.map(|pair| u8::from_str_radix(pair, 16).expect("hex")).collect()
    };
    let line = |line: &'static str| line.split_once(' ').map(|(name, hex)| (name, bytes(hex)));
    RECORDED.lines().filter_map(line).collect()
}

fn recorded_message(name: &str) -> Message {
    decode_message(&recorded()[name]).expect("decode")
}

#[test]
fn messages_of_the_earlier_build_keep_their_meaning() {
    let Message::Push(Push::Instances { observed, is_complete, removed }) =
        recorded_message("instances")
    else {
        panic!("servers");
    };
    assert_eq!(
        (observed[0].report.sequence, observed[0].age_ms, is_complete, removed.len()),
        (41, 1_234, true, 0)
    );
    assert_eq!(observed[0].report.id(), InstanceId::new("i-7f3a91c2"));
    let Message::Push(Push::Fleet(update)) = recorded_message("fleet") else { panic!("fleet") };
    let departed = ["i-1", "i-2"].map(InstanceId::new);
    assert_eq!((update.departed(), update.member_zones.len()), (departed.to_vec(), 0));
    assert!(update.quarantine.is_some_and(|quarantine| quarantine.is_complete));
    let Message::Push(Push::Renewals(update)) = recorded_message("renewals") else {
        panic!("renewals")
    };
    assert_eq!(update.renewing_ids(), [InstanceId::new("i-1")]);
    assert_eq!(update.ended_ids(), [InstanceId::new("i-3")]);
    assert_eq!((update.versions[0].id(), update.versions[0].version), (InstanceId::new("i-2"), 3));
    let Message::RouterUpdate(update) = recorded_message("router_news") else {
        panic!("router update")
    };
    assert_eq!(
        (update.dispatches[0].request_number, update.ended_requests.as_slice()),
        (77, [76].as_slice())
    );
    assert_eq!(update.reachability[0].id(), InstanceId::new("i-2"));
    let crashes = update.crashes.clone().expect("a crash");
    assert_eq!(crashes.crashes[0].id(), InstanceId::new("i-3"));
    assert_eq!(crashes.cleared[0].ids(), [InstanceId::new("i-4")]);
    let Message::RelayedUpdate(relayed) = recorded_message("relayed") else { panic!("relayed") };
    assert_eq!((relayed[0].from, &relayed[0].update), (NodeId(3), &update));
    for (name, call) in [("follow", 1), ("confirm", 2), ("listen", 3), ("quarantine", 4)] {
        let Message::Request { call: decoded, request } = recorded_message(name) else {
            panic!("{name}")
        };
        assert_eq!(decoded, call);
        assert!(!matches!(request, Request::FollowFleet { .. }));
    }
    let Message::Reply { reply, .. } = recorded_message("confirmed") else { panic!("a reply") };
    assert_eq!(reply, Reply::Confirmed { age_ms: 3, revision: 9, routers: 4, weights: None });
    let identity: PeerIdentity = minicbor::decode(&recorded()["identity"]).expect("an identity");
    assert_eq!(identity.node, NodeId(7));
}

/// Identical bytes are readable by the earlier build.
#[test]
fn messages_without_new_fields_are_encoded_as_by_the_earlier_build() {
    for name in ["follow", "confirm", "listen", "quarantine", "confirmed", "refused"] {
        assert_eq!(encode(&recorded_message(name)), recorded()[name], "{name}");
    }
}

#[test]
fn log_and_snapshot_of_the_earlier_build_lead_to_the_same_state() {
    let recorded = recorded();
    let mut state = ControlState::default();
    for (index, name) in ["put", "weights", "depart", "lease", "quarantined"].iter().enumerate() {
        let record = &recorded[format!("log_{name}").as_str()];
        let command: Command = minicbor::decode(record).expect("a record");
        state.apply(index as u64 + 1, command);
    }
    // In the earlier build, a departure has no start time and covers all incarnations.
    let later = InstanceId::started_at(InstanceName::new("i-1"), StartTime::from_unix_ms(9));
    assert!(state.fleet().has_departed(&InstanceId::new("i-1")));
    assert!(state.fleet().has_departed(&later));
    let restored = ControlState::from_snapshot(&recorded["snapshot"]).expect("a snapshot");
    assert_eq!(restored, state);
    let again = ControlState::from_snapshot(&restored.to_snapshot()).expect("a snapshot");
    assert_eq!(again, state);
    let lease = state.apply(9, Command::TakeOrderLease { node: NodeId(2) });
    assert!(matches!(lease, Answer::OrderLease(lease) if lease.token == 2));
}

/// Encodes a message with an arbitrary variant index and fields, as a later build might.
fn later_message(index: u32, fields: impl FnOnce(&mut minicbor::Encoder<&mut Vec<u8>>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    encoder.array(2).and_then(|encoder| encoder.u32(index)).expect("memory");
    fields(&mut encoder);
    bytes
}

#[test]
fn messages_and_calls_of_unknown_kinds_are_decoded_as_unknown() {
    let kind = later_message(77, |encoder| {
        encoder.array(1).and_then(|encoder| encoder.str("what")).expect("memory");
    });
    assert_eq!(decode_message(&kind).expect("decode"), Message::Unknown { call: None });
    let call = later_message(1, |encoder| {
        encoder.array(2).and_then(|encoder| encoder.u64(5)).expect("memory");
        encoder.array(2).and_then(|encoder| encoder.u32(500)).expect("memory");
        encoder.array(0).expect("memory");
    });
    assert_eq!(decode_message(&call).expect("decode"), Message::Unknown { call: Some(5) });
    let push = later_message(3, |encoder| {
        encoder.array(1).and_then(|encoder| encoder.array(2)).expect("memory");
        encoder.u32(99).and_then(|encoder| encoder.array(0)).expect("memory");
    });
    assert_eq!(decode_message(&push).expect("decode"), Message::Unknown { call: None });
    // An additional field of a known kind is ignored.
    let field = later_message(1, |encoder| {
        encoder.array(3).and_then(|encoder| encoder.u64(6)).expect("memory");
        encoder.array(2).and_then(|encoder| encoder.u32(12)).expect("memory");
        encoder.array(0).and_then(|encoder| encoder.bool(true)).expect("memory");
    });
    let expected = Message::Request { call: 6, request: Request::Confirm };
    assert_eq!(decode_message(&field).expect("decode"), expected);
}

#[test]
fn malformed_messages_are_rejected() {
    let valid = encode(&Message::Request { call: 1, request: Request::Confirm });
    for length in 0..valid.len() {
        assert!(decode_message(&valid[..length]).is_err(), "{length} bytes");
    }
    let mut extended = valid.clone();
    extended.push(0);
    extended[1] = 0x18;
    assert!(decode_message(&extended).is_err());
    assert!(decode_message(&[0xff; 9]).is_err());
    assert!(decode_message(b"").is_err());
}
