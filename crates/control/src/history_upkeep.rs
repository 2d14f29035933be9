//! Upkeep of the history of software versions: it is complete only while this replica is in contact with
//! a quorum, and is written to the disk when it changes.

use std::time::Duration;

use juniper_clock::BootInstant;
use tokio::task::spawn_blocking;
use tokio::time::{MissedTickBehavior, interval};

use crate::fleet_publisher::{FleetPublisher, QuorumContact};
use crate::history_file::HistoryFile;
use crate::replica::ReplicaView;

const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two attempts to write the file.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Age of the latest confirmation above which contact counts as lost; longer than an election.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(5);

/// Age up to which a confirmation shows that no configuration has been accepted.
const RECENT: Duration = Duration::from_secs(1);

/// Restores the history that was written before a restart. Without a file, `is_founding` states that
/// the cluster is being founded.
pub(crate) fn restore_history(publisher: &FleetPublisher, file: &HistoryFile, is_founding: bool) {
    match file.read() {
        Ok(Some((snapshot, elapsed))) => {
            log::info!(
                "event=served_versions_restored services={} known_ms={:?} elapsed_ms={}",
                snapshot.services.len(),
                snapshot.known_ms,
                elapsed.as_millis()
            );
            publisher.restore_history(&snapshot, elapsed);
        }
        Ok(None) if is_founding => publisher.follow_contact(QuorumContact::BeforeCatalog),
        Ok(None) => {}
        Err(error) => log::warn!("event=served_versions_unreadable reason=\"{error}\""),
    }
}

/// Follows this replica's contact with a quorum until cancelled.
pub(crate) async fn follow_quorum_contact(publisher: &FleetPublisher, view: &ReplicaView) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let started = BootInstant::now();
    loop {
        ticks.tick().await;
        publisher.follow_contact(contact(view, started));
    }
}

/// Writes the history when it has changed, until cancelled. A disk may take seconds.
pub(crate) async fn write_changes(publisher: &FleetPublisher, file: &HistoryFile) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut written = None;
    loop {
        ticks.tick().await;
        let (changes, snapshot) = publisher.history_snapshot();
        if written == Some(changes) {
            continue;
        }
        let writing = file.clone();
        let failure = match spawn_blocking(move || writing.write(snapshot)).await {
            Ok(Ok(())) => {
                written = Some(changes);
                continue;
            }
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        log::warn!("event=served_versions_unwritten reason=\"{failure}\"");
        ticks.reset_after(RETRY_INTERVAL);
    }
}

fn contact(view: &ReplicaView, started: BootInstant) -> QuorumContact {
    let confirmed_at = *view.confirmed_at.borrow();
    let has_catalog = view.fleet.borrow().catalog().is_some();
    let age = confirmed_at.unwrap_or(started).elapsed();
    match confirmed_at {
        _ if age >= MAX_CONFIRMATION_AGE => QuorumContact::Lost,
        None => QuorumContact::Awaited,
        Some(_) if age < RECENT && !has_catalog => QuorumContact::BeforeCatalog,
        Some(_) => QuorumContact::Held,
    }
}
