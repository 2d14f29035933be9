//! A server that has ended is told from a connection that broke.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use juniper_quarantine::{CrashProof, CutRequest, CutRequests};
use juniper_registry::InstanceId;
use juniper_types::{RequestFingerprint, Timestamp};

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

/// A request that was sent a second before its connection broke.
fn cut(request: RequestFingerprint, seconds: u64) -> CutRequest {
    let sent_at = at(seconds).before(Duration::from_secs(1));
    CutRequest { request, sent_at, cut_at: at(seconds) }
}

#[test]
fn a_broken_connection_alone_is_no_crash() {
    let mut cuts = CutRequests::default();
    assert_eq!(cuts.cut(&server("a"), address(1), cut(request(1), 0)), None);
    let same = server("a");
    assert!(cuts.find_new_lives(at(1), |_| Some(&same)).is_empty(), "it is still the same life");
    assert!(cuts.find_new_lives(at(2), |_| None).is_empty(), "nothing is known of the address");
}

#[test]
fn a_server_that_refuses_connections_has_ended_under_all_its_requests() {
    let mut cuts = CutRequests::default();
    cuts.cut(&server("a"), address(1), cut(request(1), 0));
    cuts.cut(&server("a"), address(1), cut(request(2), 0));
    cuts.cut(&server("b"), address(2), cut(request(3), 0));
    let crash = cuts.proved(&server("a"), CrashProof::Refused, at(0)).expect("a crash");
    assert_eq!((crash.instance, crash.proof), (server("a"), CrashProof::Refused));
    assert_eq!(crash.requests, [cut(request(1), 0), cut(request(2), 0)]);
    assert_eq!(cuts.proved(&server("a"), CrashProof::NewLife, at(1)), None, "told once");
    let late = cuts.cut(&server("a"), address(1), cut(request(4), 1)).expect("known to have ended");
    assert_eq!(
        (late.requests.as_slice(), late.proof),
        ([cut(request(4), 1)].as_slice(), CrashProof::Refused)
    );
}

#[test]
fn another_life_at_the_address_shows_that_the_server_has_ended() {
    let mut cuts = CutRequests::default();
    cuts.cut(&server("a"), address(1), cut(request(1), 0));
    cuts.cut(&server("b"), address(2), cut(request(2), 0));
    let (same, next) = (server("b"), server("a2"));
    let lives = |asked| if asked == address(1) { Some(&next) } else { Some(&same) };
    let crashes = cuts.find_new_lives(at(3), lives);
    assert_eq!(crashes.len(), 1);
    assert_eq!((&crashes[0].instance, crashes[0].proof), (&server("a"), CrashProof::NewLife));
    assert_eq!(crashes[0].requests, [cut(request(1), 0)]);
}

#[test]
fn a_cut_that_nothing_proves_in_time_is_forgotten() {
    let mut cuts = CutRequests::default();
    cuts.cut(&server("a"), address(1), cut(request(1), 0));
    assert_eq!(cuts.proved(&server("a"), CrashProof::Refused, at(10)), None);
    assert!(cuts.is_empty());
}

#[test]
fn what_waits_is_bounded() {
    let mut cuts = CutRequests::default();
    for number in 0..2_000_u32 {
        let mut bytes = [0; 16];
        bytes[..4].copy_from_slice(&number.to_be_bytes());
        cuts.cut(&server("a"), address(1), cut(RequestFingerprint(bytes), 0));
    }
    let crash = cuts.proved(&server("a"), CrashProof::Refused, at(0)).expect("a crash");
    assert_eq!(crash.requests.len(), 1_024);
}
