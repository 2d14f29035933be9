//! Rollout updates: changes encoded once, the complete state for new subscribers.

use std::collections::{BTreeMap, BTreeSet};

use juniper_control::Renewals;
use juniper_control::renewal_log::{RenewalLog, SharedFrame};
use juniper_protocol::message::RenewalUpdate;
use juniper_protocol::{Message, Push};
use juniper_registry::{InstanceId, InstanceName};

fn renewals(renewing: &[&str], versions: &[(&str, u64)]) -> Renewals {
    let version = |(id, version): &(&str, u64)| ((InstanceId::new(id), "m".to_owned()), *version);
    Renewals {
        renewing: renewing.iter().map(InstanceId::new).collect(),
        versions: versions.iter().map(version).collect::<BTreeMap<_, _>>(),
    }
}

fn decode(frame: &SharedFrame) -> RenewalUpdate {
    match minicbor::decode(frame).expect("a message") {
        Message::Push(Push::Renewals(update)) => update,
        other => panic!("{other:?}"),
    }
}

fn publish(log: &mut RenewalLog, latest: Renewals) {
    log.set_latest(latest);
    log.publish();
}

fn names(ids: &[InstanceName]) -> BTreeSet<&str> {
    ids.iter().map(InstanceName::as_str).collect()
}

#[test]
fn subscriber_gets_the_changes_since_its_last_update() {
    let mut log = RenewalLog::default();
    publish(&mut log, renewals(&["a", "b"], &[]));
    let (sent, _) = log.frames_after(None);
    publish(&mut log, renewals(&["b", "c"], &[("a", 2)]));
    let (_, frames) = log.frames_after(Some(sent));
    let [change] = &frames[..] else { panic!("{} frames", frames.len()) };
    let change = decode(change);
    assert!(!change.is_complete);
    assert_eq!((names(&change.renewing), names(&change.ended)), (["c"].into(), ["a"].into()));
    assert_eq!(change.versions.len(), 1);
}

#[test]
fn changes_reverted_before_publication_are_not_sent() {
    let mut log = RenewalLog::default();
    assert!(log.set_latest(renewals(&["a"], &[])));
    assert!(!log.set_latest(renewals(&[], &[])));
    assert_eq!(log.publish(), 0);
    assert!(log.frames_after(None).1.is_empty());
}

#[test]
fn subscribers_share_the_encoded_change() {
    let mut log = RenewalLog::default();
    publish(&mut log, renewals(&["a"], &[]));
    let (one, other) = (log.frames_after(Some(0)).1, log.frames_after(Some(0)).1);
    assert!(std::sync::Arc::ptr_eq(&one[0], &other[0]));
}

#[test]
fn subscriber_that_is_new_or_far_behind_gets_the_complete_state() {
    let mut log = RenewalLog::default();
    for number in 0..100 {
        publish(&mut log, renewals(&[&format!("s-{number}")], &[("a", number + 1)]));
    }
    for sent in [None, Some(10)] {
        let (latest, frames) = log.frames_after(sent);
        assert_eq!((latest, frames.len()), (100, 1));
        let update = decode(&frames[0]);
        assert!(update.is_complete);
        assert_eq!(names(&update.renewing), ["s-99"].into());
    }
}
