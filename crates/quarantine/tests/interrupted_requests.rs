//! Proof of crashes from interrupted requests.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use juniper_quarantine::{CrashProof, InterruptedParts, InterruptedRequest, InterruptedRequests};
use juniper_registry::InstanceId;
use juniper_types::{RequestFingerprint, Timestamp};

const NO_PARTS: InterruptedParts<'_> = InterruptedParts { parts: &[], trial: None };

fn request(number: u8) -> RequestFingerprint {
    RequestFingerprint([number; 16])
}

fn server(name: &str) -> InstanceId {
    InstanceId::new(name)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

/// A request that was sent a second before it was interrupted.
fn interrupted(request: RequestFingerprint, seconds: u64) -> InterruptedRequest {
    let sent_at = at(seconds).before(Duration::from_secs(1));
    InterruptedRequest { request, sent_at, interrupted_at: at(seconds) }
}

#[test]
fn an_interrupted_request_alone_is_no_crash() {
    let mut tracker = InterruptedRequests::default();
    assert_eq!(
        tracker.record(&server("a"), address(1), interrupted(request(1), 0), NO_PARTS),
        None
    );
    let same = server("a");
    assert!(tracker.find_new_incarnations(at(1), |_| Some(&same)).is_empty(), "same incarnation");
    assert!(tracker.find_new_incarnations(at(2), |_| None).is_empty(), "unknown address");
}

#[test]
fn a_refused_connection_proves_a_crash_under_all_interrupted_requests() {
    let mut tracker = InterruptedRequests::default();
    tracker.record(&server("a"), address(1), interrupted(request(1), 0), NO_PARTS);
    tracker.record(&server("a"), address(1), interrupted(request(2), 0), NO_PARTS);
    tracker.record(&server("b"), address(2), interrupted(request(3), 0), NO_PARTS);
    let crash = tracker.record_proof(&server("a"), CrashProof::Refused, at(0)).expect("a crash");
    assert_eq!((crash.instance, crash.proof), (server("a"), CrashProof::Refused));
    assert_eq!(crash.requests, [interrupted(request(1), 0), interrupted(request(2), 0)]);
    assert_eq!(
        tracker.record_proof(&server("a"), CrashProof::NewIncarnation, at(1)),
        None,
        "returned once"
    );
    let late = tracker
        .record(&server("a"), address(1), interrupted(request(4), 1), NO_PARTS)
        .expect("known crash");
    assert_eq!(
        (late.requests.as_slice(), late.proof),
        ([interrupted(request(4), 1)].as_slice(), CrashProof::Refused)
    );
}

#[test]
fn another_incarnation_at_the_address_proves_a_crash() {
    let mut tracker = InterruptedRequests::default();
    tracker.record(&server("a"), address(1), interrupted(request(1), 0), NO_PARTS);
    tracker.record(&server("b"), address(2), interrupted(request(2), 0), NO_PARTS);
    let (same, next) = (server("b"), server("a2"));
    let incarnations = |requested| if requested == address(1) { Some(&next) } else { Some(&same) };
    let crashes = tracker.find_new_incarnations(at(3), incarnations);
    assert_eq!(crashes.len(), 1);
    assert_eq!(
        (&crashes[0].instance, crashes[0].proof),
        (&server("a"), CrashProof::NewIncarnation)
    );
    assert_eq!(crashes[0].requests, [interrupted(request(1), 0)]);
}

#[test]
fn interrupted_requests_without_timely_proof_are_removed() {
    let mut tracker = InterruptedRequests::default();
    tracker.record(&server("a"), address(1), interrupted(request(1), 0), NO_PARTS);
    assert_eq!(tracker.record_proof(&server("a"), CrashProof::Refused, at(10)), None);
    assert!(tracker.is_empty());
}

#[test]
fn pending_requests_are_bounded() {
    let mut tracker = InterruptedRequests::default();
    for number in 0..2_000_u32 {
        let mut bytes = [0; 16];
        bytes[..4].copy_from_slice(&number.to_be_bytes());
        tracker.record(
            &server("a"),
            address(1),
            interrupted(RequestFingerprint(bytes), 0),
            NO_PARTS,
        );
    }
    let crash = tracker.record_proof(&server("a"), CrashProof::Refused, at(0)).expect("a crash");
    assert_eq!(crash.requests.len(), 1_024);
}
