//! Malformed and forged input: frames, messages, datagrams and greetings.

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

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}

/// Messages that between them carry names, numbers, bytes and trees.
fn sample_messages() -> Vec<Message> {
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

/// Overwrites single bytes and removes up to `truncated` bytes at the end.
fn corrupt(mut bytes: Vec<u8>, changes: &[(u16, u8)], truncated: u16) -> Vec<u8> {
    for (position, byte) in changes {
        let position = usize::from(*position) % bytes.len();
        bytes[position] = *byte;
    }
    bytes.truncate(bytes.len() - usize::from(truncated) % bytes.len());
    bytes
}

#[test]
fn messages_survive_encoding_and_decoding() {
    for message in sample_messages() {
        let decoded: Message = minicbor::decode(&encode(&message)).expect("a message");
        assert_eq!(decoded, message);
    }
}

#[test]
fn decoding_corrupt_messages_never_panics() {
    fn property(kind: usize, changes: Vec<(u16, u8)>, truncated: u16) -> bool {
        let all = sample_messages();
        let bytes = corrupt(encode(&all[kind % all.len()]), &changes, truncated);
        match minicbor::decode::<Message>(&bytes) {
            // A decoded message can be encoded again without growing much.
            Ok(message) => encode(&message).len() <= bytes.len().max(1) * 2,
            Err(_) => true,
        }
    }
    check(property as fn(usize, Vec<(u16, u8)>, u16) -> bool);
}

#[test]
fn random_bytes_cause_no_large_allocations() {
    fn property(bytes: Vec<u8>) -> bool {
        block_on(async {
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
fn truncated_and_oversized_frames_are_rejected() {
    let length = u32::try_from(MAX_FRAME_BYTES).expect("fits").to_be_bytes();
    let mut bytes = length.to_vec();
    bytes.extend_from_slice(&[1, 0, 0]);
    let result = block_on(read_frame(&mut bytes.as_slice()));
    assert!(matches!(result, Err(FrameError::Io(_))), "{result:?}");
    let too_long = (u32::MAX).to_be_bytes();
    let result = block_on(read_frame(&mut [too_long.as_slice(), &[1]].concat().as_slice()));
    assert!(matches!(result, Err(FrameError::TooLong(_))), "{result:?}");
}

#[test]
fn consecutive_frames_survive_writing_and_reading() {
    fn property(payloads: Vec<Vec<u8>>) -> bool {
        block_on(async {
            let mut bytes = Vec::new();
            for payload in &payloads {
                write_frame(&mut bytes, payload).await.expect("write to memory");
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
fn modified_datagrams_are_rejected() {
    fn property(payload: Vec<u8>, position: usize, flip: u8) -> bool {
        let key = key("a key that daemons share");
        let sealed = seal(&key, &payload).expect("short enough");
        let mut changed = sealed.clone();
        let position = position % changed.len();
        changed[position] ^= flip.max(1);
        open(&key, &sealed) == Ok(payload.as_slice()) && open(&key, &changed).is_err()
    }
    check(property as fn(Vec<u8>, usize, u8) -> bool);
}

fn identity(node: u64) -> PeerIdentity {
    let zone = ZoneName::new("hartford").expect("a name");
    PeerIdentity { node: NodeId(node), role: PeerRole::Router, zone, incarnation: None }
}

#[test]
fn peers_without_the_cluster_key_are_rejected() {
    fn property(noise: Vec<u8>) -> bool {
        block_on(async {
            let (mut near, mut far) = tokio::io::duplex(64 << 10);
            far.write_all(&noise).await.expect("write to memory");
            drop(far);
            as_acceptor(&mut near, &key("a key that daemons share"), &identity(1)).await.is_err()
        })
    }
    check(property as fn(Vec<u8>) -> bool);
    block_on(async {
        let (mut near, mut far) = tokio::io::duplex(64 << 10);
        let (own_key, other_key) =
            (key("a key that daemons share"), key("another key, equally long"));
        let (one, two) = (identity(1), identity(2));
        let (accepted, connected) = tokio::join!(
            as_acceptor(&mut near, &own_key, &one),
            as_connector(&mut far, &other_key, &two),
        );
        assert!(accepted.is_err() && connected.is_err());
    });
}
