//! Tests of which pushed settings come into force, depending on the floor.

use juniper_protocol::{Push, SettingsDelta};
use juniper_router::subscription::{ApplyPush, SetFloor, SettingsActor, SettingsView};
use juniper_settings::{ChangeSet, Edit, SettingsNode, SettingsPath, SettingsTree};
use juniper_types::{Revision, ZoneName};
use kameo::actor::{ActorRef, Spawn};
use tokio::sync::watch;

fn delta(revision: u64) -> Push {
    let zone = ZoneName::new(format!("zone-{revision}")).unwrap();
    let path = SettingsPath::Zone(zone);
    let edits = vec![Edit::Put { path, node: Box::new(SettingsNode::default()) }];
    let change = ChangeSet { edits };
    Push::Delta(SettingsDelta { revision: Revision(revision), change })
}

fn start() -> (ActorRef<SettingsActor>, watch::Receiver<SettingsView>) {
    let (sender, view) = watch::channel(SettingsView::default());
    (SettingsActor::spawn(SettingsActor::new(sender, None).unwrap()), view)
}

#[tokio::test]
async fn deltas_up_to_the_floor_come_into_force_together() {
    let (actor, view) = start();
    actor.ask(SetFloor(Revision(3))).await.unwrap();
    for revision in 1..3 {
        assert_eq!(actor.ask(ApplyPush(delta(revision))).await.unwrap(), None);
        assert_eq!(view.borrow().in_force.revision, Revision(0), "below the floor");
    }
    let applied = actor.ask(ApplyPush(delta(3))).await.unwrap();
    assert_eq!(applied, Some(Revision(3)));
    assert_eq!(view.borrow().in_force.tree().nodes.len(), 3, "all deltas are applied");
}

#[tokio::test]
async fn repeated_deltas_of_a_new_subscription_are_ignored() {
    let (actor, view) = start();
    actor.ask(SetFloor(Revision(2))).await.unwrap();
    for revision in [1, 1, 2, 1, 2, 3] {
        actor.ask(ApplyPush(delta(revision))).await.unwrap();
    }
    assert_eq!(view.borrow().in_force.revision, Revision(3));
}

#[tokio::test]
async fn a_snapshot_below_the_floor_or_the_revision_in_force_is_ignored() {
    let (actor, view) = start();
    actor.ask(SetFloor(Revision(5))).await.unwrap();
    let snapshot =
        |revision| Push::Snapshot { revision: Revision(revision), tree: SettingsTree::default() };
    assert_eq!(actor.ask(ApplyPush(snapshot(4))).await.unwrap(), None);
    assert_eq!(view.borrow().in_force.revision, Revision(0));
    assert_eq!(actor.ask(ApplyPush(snapshot(6))).await.unwrap(), Some(Revision(6)));
    assert_eq!(actor.ask(ApplyPush(snapshot(5))).await.unwrap(), None);
    assert_eq!(view.borrow().in_force.revision, Revision(6));
}

#[tokio::test]
async fn a_delta_that_skips_a_revision_is_an_error() {
    let (actor, _view) = start();
    actor.ask(SetFloor(Revision(0))).await.unwrap();
    actor.ask(ApplyPush(delta(1))).await.unwrap();
    assert!(actor.ask(ApplyPush(delta(3))).await.is_err());
}
