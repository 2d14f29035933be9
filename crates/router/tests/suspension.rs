//! A router of the tree wakes up and finds signs of life in its socket that were sent while it slept.
//!
//! A process of its own: the suspension holds for all that runs in it.

use std::time::Duration;

use juniper_clock::testing::suspend;
use juniper_protocol::Push;
use juniper_router::subscription::{ApplyPush, SettingsActor, SettingsView};
use juniper_types::Revision;
use kameo::actor::Spawn;
use tokio::sync::watch;
use tokio::time::sleep;

const ALIVE: Push = Push::Alive { committed: Revision(0), confirmed_ms: 100 };

#[tokio::test]
async fn signs_of_life_that_came_during_a_suspension_confirm_nothing() {
    let (sender, view) = watch::channel(SettingsView::default());
    let actor = SettingsActor::spawn(SettingsActor::new(sender, None).unwrap());
    let age = || view.borrow().confirmed_at.expect("confirmed").elapsed();
    actor.ask(ApplyPush(ALIVE)).await.unwrap();
    assert!(age() < Duration::from_secs(1));
    suspend(Duration::from_secs(10));
    // One a second lay in the socket.
    for _ in 0..10 {
        actor.ask(ApplyPush(ALIVE)).await.unwrap();
    }
    assert!(age() >= Duration::from_secs(10), "nobody knows how old they are");
    sleep(Duration::from_millis(1_300)).await;
    actor.ask(ApplyPush(ALIVE)).await.unwrap();
    assert!(age() < Duration::from_secs(1), "what comes later counts again");
}
