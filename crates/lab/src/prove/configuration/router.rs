//! Router that polls the settings and applies them with the production code.

use std::rc::Rc;

use juniper_control_state::ControlState;
use juniper_protocol::{Push, SettingsDelta};
use juniper_router::in_force::SettingsInForce;
use juniper_settings::SettingsTree;
use juniper_settings::validated::to_change_set;
use juniper_simulation::{Bench, Call, MILLI, Planted, Reply, Request};
use juniper_types::Revision;

use super::record::{Values, values_of};

/// Restarts per thousand polls.
const RESTARTS_PER_THOUSAND: u64 = 30;

/// Revisions that were in force, in order, with their values.
pub type AppliedRevisions = Vec<(Revision, Values)>;

/// Simulated router that polls random control replicas for the settings.
pub struct PollingRouter {
    client: usize,
    planted: Option<Planted>,
    /// Whether the settings in force are persisted across restarts.
    has_disk: bool,
    persisted: Option<(Revision, SettingsTree)>,
    in_force: SettingsInForce,
    /// Lowest revision that may be put in force since the last restart, once known.
    floor: Option<Revision>,
    /// Number of the latest poll; answers to earlier polls are ignored.
    poll_number: u64,
    applied: AppliedRevisions,
}

impl PollingRouter {
    /// Creates the router with client number `client`. One in three has a disk.
    pub fn new(client: usize, planted: Option<Planted>) -> Self {
        PollingRouter {
            client,
            planted,
            has_disk: client.is_multiple_of(3),
            persisted: None,
            in_force: SettingsInForce::default(),
            floor: None,
            poll_number: 0,
            applied: AppliedRevisions::new(),
        }
    }

    /// Schedules the first poll.
    pub fn start(&mut self, bench: &mut Bench) {
        self.schedule_poll(bench);
    }

    /// Revision that is in force.
    pub fn in_force(&self) -> Revision {
        self.in_force.revision
    }

    /// Revisions that were in force, in order.
    pub fn applied(&self) -> &AppliedRevisions {
        &self.applied
    }

    fn schedule_poll(&self, bench: &mut Bench) {
        let time = bench.random.between(20 * MILLI, 500 * MILLI);
        bench.wake_after(time, Call { client: self.client, token: 0 });
    }

    /// Polls a replica. Restarts the router first, at random.
    pub fn on_timer(&mut self, bench: &mut Bench) {
        if bench.random.chance(RESTARTS_PER_THOUSAND) {
            self.restart(bench);
        }
        self.poll_number += 1;
        let request = if self.floor.is_some() { Request::Look } else { Request::Read };
        let node = bench.any_node();
        bench.send(node, Call { client: self.client, token: self.poll_number }, request);
        self.schedule_poll(bench);
    }

    fn restart(&mut self, bench: &mut Bench) {
        self.in_force = match &self.persisted {
            Some((revision, tree)) => SettingsInForce::new(*revision, tree.clone()),
            None => SettingsInForce::default(),
        };
        self.floor = self.persisted.as_ref().map(|(revision, _)| *revision);
        if self.planted == Some(Planted::FloorSkipped) {
            self.floor = Some(Revision::default());
        }
        let revision = self.in_force.revision;
        bench.note(|| format!("router {} restarts with {revision}", self.client));
    }

    /// Handles the state returned by a replica.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply) {
        let Reply::State(state) = reply else { return };
        if token != self.poll_number {
            return;
        }
        let Some(floor) = self.floor else {
            self.floor = Some(state.settings().revision());
            return;
        };
        for push in self.pushes(&state) {
            let next = match self.planted {
                Some(Planted::StaleRevisionApplied) => accept_any(push),
                _ => self.in_force.after_push(push).unwrap_or_default(),
            };
            if let Some(next) = next.filter(|next| next.revision >= floor) {
                self.put_in_force(bench, next);
            }
        }
    }

    /// Pushes that the replica would send to this router.
    fn pushes(&self, state: &Rc<ControlState>) -> Vec<Push> {
        let settings = state.settings();
        let accepts_any = self.planted == Some(Planted::StaleRevisionApplied);
        let changes = settings.changes_after(self.in_force.revision);
        match changes.filter(|_| self.in_force.revision.0 > 0 && !accepts_any) {
            Some(changes) => {
                let delta = |entry: &juniper_control_state::HistoryEntry| {
                    let change = to_change_set(&entry.changes);
                    Push::Delta(SettingsDelta { revision: entry.revision, change })
                };
                changes.map(delta).collect()
            }
            None => vec![Push::Snapshot {
                revision: settings.revision(),
                tree: settings.tree().tree().clone(),
            }],
        }
    }

    fn put_in_force(&mut self, bench: &mut Bench, next: SettingsInForce) {
        let revision = next.revision;
        bench.note(|| format!("router {} has {revision} in force", self.client));
        self.applied.push((revision, values_of(next.tree())));
        if self.has_disk {
            self.persisted = Some((revision, next.tree().clone()));
        }
        self.in_force = next;
    }
}

/// Planted fault: accepts any snapshot, also an older one.
fn accept_any(push: Push) -> Option<SettingsInForce> {
    match push {
        Push::Snapshot { revision, tree } => Some(SettingsInForce::new(revision, tree)),
        _ => None,
    }
}
