//! What routers are told of renewals: changes, encoded once, and everything to newcomers.

use std::collections::{BTreeMap, BTreeSet};

use juniper_control::Renewals;
use juniper_control::renewals::{RenewalLog, SharedFrame};
use juniper_protocol::message::RenewalUpdate;
use juniper_protocol::{Message, Push};
use juniper_registry::{InstanceId, InstanceName};

fn known(under_way: &[&str], versions: &[(&str, u64)]) -> Renewals {
    let version = |(id, version): &(&str, u64)| ((InstanceId::new(id), "m".to_owned()), *version);
    Renewals {
        under_way: under_way.iter().map(InstanceId::new).collect(),
        versions: versions.iter().map(version).collect::<BTreeMap<_, _>>(),
    }
}

fn read(frame: &SharedFrame) -> RenewalUpdate {
    match minicbor::decode(frame).expect("a message") {
        Message::Push(Push::Renewals(news)) => news,
        other => panic!("{other:?}"),
    }
}

fn publish(log: &mut RenewalLog, latest: Renewals) {
    log.announce(latest);
    log.publish();
}

fn names(ids: &[InstanceName]) -> BTreeSet<&str> {
    ids.iter().map(InstanceName::as_str).collect()
}

#[test]
fn a_follower_is_told_what_has_changed_since_it_was_told_last() {
    let mut log = RenewalLog::default();
    publish(&mut log, known(&["a", "b"], &[]));
    let (sent, _) = log.frames_after(None);
    publish(&mut log, known(&["b", "c"], &[("a", 2)]));
    let (_, frames) = log.frames_after(Some(sent));
    let [change] = &frames[..] else { panic!("{} frames", frames.len()) };
    let change = read(change);
    assert!(!change.is_complete);
    assert_eq!((names(&change.renewing), names(&change.ended)), (["c"].into(), ["a"].into()));
    assert_eq!(change.versions.len(), 1);
}

#[test]
fn what_was_announced_and_taken_back_before_it_was_published_is_not_told() {
    let mut log = RenewalLog::default();
    assert!(log.announce(known(&["a"], &[])));
    assert!(!log.announce(known(&[], &[])));
    assert_eq!(log.publish(), 0);
    assert!(log.frames_after(None).1.is_empty());
}

#[test]
fn all_followers_share_the_bytes_of_a_change() {
    let mut log = RenewalLog::default();
    publish(&mut log, known(&["a"], &[]));
    let (one, other) = (log.frames_after(Some(0)).1, log.frames_after(Some(0)).1);
    assert!(std::sync::Arc::ptr_eq(&one[0], &other[0]));
}

#[test]
fn a_follower_that_is_new_or_far_behind_gets_everything() {
    let mut log = RenewalLog::default();
    for number in 0..100 {
        publish(&mut log, known(&[&format!("s-{number}")], &[("a", number + 1)]));
    }
    for sent in [None, Some(10)] {
        let (latest, frames) = log.frames_after(sent);
        assert_eq!((latest, frames.len()), (100, 1));
        let whole = read(&frames[0]);
        assert!(whole.is_complete);
        assert_eq!(names(&whole.renewing), ["s-99"].into());
    }
}
