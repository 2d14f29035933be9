//! Keep-alives buffered during a suspension of the machine must not confirm the settings.
//!
//! Runs in a separate test binary because the simulated suspension affects the whole process.

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
async fn keep_alives_buffered_during_a_suspension_dont_confirm_the_settings() {
    let (sender, view) = watch::channel(SettingsView::default());
    let actor = SettingsActor::spawn(SettingsActor::new(sender, None).unwrap());
    let age = || view.borrow().confirmed_at.expect("confirmed").elapsed();
    actor.ask(ApplyPush(ALIVE)).await.unwrap();
    assert!(age() < Duration::from_secs(1));
    suspend(Duration::from_secs(10));
    // One keep-alive per second was buffered.
    for _ in 0..10 {
        actor.ask(ApplyPush(ALIVE)).await.unwrap();
    }
    assert!(age() >= Duration::from_secs(10), "the age of buffered keep-alives is unknown");
    sleep(Duration::from_millis(1_300)).await;
    actor.ask(ApplyPush(ALIVE)).await.unwrap();
    assert!(age() < Duration::from_secs(1), "later keep-alives confirm the settings");
}
