//! Bytes from outside: frames, messages, datagrams and greetings that nobody should send.

use juniper_protocol::datagram::{open, seal};
use juniper_protocol::frame::{FrameError, MAX_FRAME_BYTES, read_frame, write_frame};
use juniper_protocol::handshake::{as_acceptor, as_connector};
use juniper_protocol::message::encode;
use juniper_protocol::{ClusterKey, Message, PeerIdentity, PeerRole, Push, Reply, Request};
use juniper_settings::SettingsTree;
use juniper_types::{
    BlockHash, ClaimAnswer, ClaimKey, ClaimOutcome, NodeId, Revision, TenantName, ZoneName,
};
use quickcheck::{Gen, QuickCheck, Testable};
use tokio::io::AsyncWriteExt;

const CASES: u64 = 2_000;
const SIZE: usize = 80;
const SEED: u64 = 0x7a11;

fn check<P: Testable>(property: P) {
    let generator = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(generator).tests(CASES).quickcheck(property);
}

fn run<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}

/// One message of each shape that carries names, numbers, bytes and trees.
fn messages() -> Vec<Message> {
    let tenant = TenantName::new("acme").expect("a name");
    let key = ClaimKey::new(100, "key").expect("a key");
    let outcome = ClaimOutcome {
        status: 200,
        content_type: "text/plain".into(),
        body: vec![7; 40],
        whole: true,
    };
    let claim = Request::Claim { tenant, key, fingerprint: BlockHash([9; 16]), attempt: u64::MAX };
    vec![
        Message::Consensus { payload: vec![1; 30] },
        Message::Request { call: 7, request: Request::Subscribe { from: Revision(3) } },
        Message::Request { call: 8, request: claim },
        Message::Reply { call: 8, reply: Reply::Claim(ClaimAnswer::Settled(outcome)) },
        Message::Push(Push::Snapshot { revision: Revision(4), tree: SettingsTree::default() }),
    ]
}

fn damage(mut bytes: Vec<u8>, changes: &[(u16, u8)], cut: u16) -> Vec<u8> {
    for (place, byte) in changes {
        let place = usize::from(*place) % bytes.len();
        bytes[place] = *byte;
    }
    bytes.truncate(bytes.len() - usize::from(cut) % bytes.len());
    bytes
}

#[test]
fn whole_messages_read_back() {
    for message in messages() {
        let decoded: Message = minicbor::decode(&encode(&message)).expect("a message");
        assert_eq!(decoded, message);
    }
}

#[test]
fn damaged_messages_are_read_or_refused_but_never_panic() {
    fn property(kind: usize, changes: Vec<(u16, u8)>, cut: u16) -> bool {
        let all = messages();
        let bytes = damage(encode(&all[kind % all.len()]), &changes, cut);
        match minicbor::decode::<Message>(&bytes) {
            // What was read can be sent on, and is no larger than what came.
            Ok(message) => encode(&message).len() <= bytes.len().max(1) * 2,
            Err(_) => true,
        }
    }
    check(property as fn(usize, Vec<(u16, u8)>, u16) -> bool);
}

#[test]
fn random_bytes_are_no_frames_and_cost_no_memory() {
    fn property(bytes: Vec<u8>) -> bool {
        run(async {
            let mut source = bytes.as_slice();
            while let Ok(payload) = read_frame(&mut source).await {
                if payload.capacity() > bytes.len().max(64 << 10) {
                    return false;
                }
            }
            true
        })
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_frame_that_promises_more_than_it_brings_is_refused() {
    let promised = u32::try_from(MAX_FRAME_BYTES).expect("fits").to_be_bytes();
    let mut bytes = promised.to_vec();
    bytes.extend_from_slice(&[1, 0, 0]);
    let refused = run(read_frame(&mut bytes.as_slice()));
    assert!(matches!(refused, Err(FrameError::Io(_))), "{refused:?}");
    let too_long = (u32::MAX).to_be_bytes();
    let refused = run(read_frame(&mut [too_long.as_slice(), &[1]].concat().as_slice()));
    assert!(matches!(refused, Err(FrameError::TooLong(_))), "{refused:?}");
}

#[test]
fn frames_read_back_however_many_follow_each_other() {
    fn property(payloads: Vec<Vec<u8>>) -> bool {
        run(async {
            let mut bytes = Vec::new();
            for payload in &payloads {
                write_frame(&mut bytes, payload).await.expect("writing to memory");
            }
            let mut source = bytes.as_slice();
            for payload in &payloads {
                if read_frame(&mut source).await.expect("a frame") != *payload {
                    return false;
                }
            }
            matches!(read_frame(&mut source).await, Err(FrameError::Closed))
        })
    }
    check(property as fn(Vec<Vec<u8>>) -> bool);
}

fn key(text: &str) -> ClusterKey {
    ClusterKey::from_text(text).expect("long enough")
}

#[test]
fn no_changed_datagram_is_taken() {
    fn property(payload: Vec<u8>, place: usize, flip: u8) -> bool {
        let key = key("a key that daemons share");
        let sealed = seal(&key, &payload).expect("short enough");
        let mut changed = sealed.clone();
        let place = place % changed.len();
        changed[place] ^= flip.max(1);
        open(&key, &sealed) == Ok(payload.as_slice()) && open(&key, &changed).is_err()
    }
    check(property as fn(Vec<u8>, usize, u8) -> bool);
}

fn identity(node: u64) -> PeerIdentity {
    let zone = ZoneName::new("hartford").expect("a name");
    PeerIdentity { node: NodeId(node), role: PeerRole::Router, zone }
}

#[test]
fn nobody_gets_in_without_the_key() {
    fn property(noise: Vec<u8>) -> bool {
        run(async {
            let (mut near, mut far) = tokio::io::duplex(64 << 10);
            far.write_all(&noise).await.expect("room");
            drop(far);
            as_acceptor(&mut near, &key("a key that daemons share"), &identity(1)).await.is_err()
        })
    }
    check(property as fn(Vec<u8>) -> bool);
    run(async {
        let (mut near, mut far) = tokio::io::duplex(64 << 10);
        let (own, other) = (key("a key that daemons share"), key("another key, equally long"));
        let (one, two) = (identity(1), identity(2));
        let (accepted, connected) =
            tokio::join!(as_acceptor(&mut near, &own, &one), as_connector(&mut far, &other, &two),);
        assert!(accepted.is_err() && connected.is_err());
    });
}
