//! A router that follows the settings, with the real logic of what is in force.

use std::rc::Rc;

use juniper_control_state::ControlState;
use juniper_protocol::{Push, SettingsDelta};
use juniper_router::in_force::SettingsInForce;
use juniper_settings::SettingsTree;
use juniper_settings::validated::to_change_set;
use juniper_simulation::{Bench, Call, MILLI, Planted, Reply, Request};
use juniper_types::Revision;

use super::record::{Values, values_of};

/// Restarts, of a thousand polls.
const RESTARTS: u64 = 30;

/// What was in force, in order.
pub type Trail = Vec<(Revision, Values)>;

/// One router, polling control replicas at random for what they have.
pub struct FollowingRouter {
    client: usize,
    planted: Option<Planted>,
    /// Whether it keeps what is in force over a restart.
    has_disk: bool,
    kept: Option<(Revision, SettingsTree)>,
    in_force: SettingsInForce,
    /// Lowest revision that may come into force in this life, once known.
    floor: Option<Revision>,
    /// Number of the last question; only its answer counts.
    asked: u64,
    trail: Trail,
}

impl FollowingRouter {
    /// The router that is client number `client`. One in three has a disk.
    pub fn new(client: usize, planted: Option<Planted>) -> Self {
        FollowingRouter {
            client,
            planted,
            has_disk: client.is_multiple_of(3),
            kept: None,
            in_force: SettingsInForce::default(),
            floor: None,
            asked: 0,
            trail: Trail::new(),
        }
    }

    /// Begins.
    pub fn start(&mut self, bench: &mut Bench) {
        self.poll_later(bench);
    }

    /// What is in force now.
    pub fn in_force(&self) -> Revision {
        self.in_force.revision
    }

    /// Everything that was in force.
    pub fn trail(&self) -> &Trail {
        &self.trail
    }

    fn poll_later(&self, bench: &mut Bench) {
        let time = bench.random.between(20 * MILLI, 500 * MILLI);
        bench.wake_after(time, Call { client: self.client, token: 0 });
    }

    /// Polls a replica, or restarts.
    pub fn on_timer(&mut self, bench: &mut Bench) {
        if bench.random.chance(RESTARTS) {
            self.restart(bench);
        }
        self.asked += 1;
        let request = if self.floor.is_some() { Request::Look } else { Request::Read };
        let node = bench.any_node();
        bench.send(node, Call { client: self.client, token: self.asked }, request);
        self.poll_later(bench);
    }

    fn restart(&mut self, bench: &mut Bench) {
        self.in_force = match &self.kept {
            Some((revision, tree)) => SettingsInForce::new(*revision, tree.clone()),
            None => SettingsInForce::default(),
        };
        self.floor = self.kept.as_ref().map(|(revision, _)| *revision);
        if self.planted == Some(Planted::FloorSkipped) {
            self.floor = Some(Revision::default());
        }
        let revision = self.in_force.revision;
        bench.note(|| format!("router {} restarts with {revision}", self.client));
    }

    /// A replica has shown its state.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply) {
        let Reply::State(state) = reply else { return };
        if token != self.asked {
            return;
        }
        let Some(floor) = self.floor else {
            self.floor = Some(state.settings().revision());
            return;
        };
        for push in self.pushes(&state) {
            let next = match self.planted {
                Some(Planted::StaleRevisionApplied) => obey(push),
                _ => self.in_force.after_push(push).unwrap_or_default(),
            };
            if let Some(next) = next.filter(|next| next.revision >= floor) {
                self.put_in_force(bench, next);
            }
        }
    }

    /// What the replica would push to this router.
    fn pushes(&self, state: &Rc<ControlState>) -> Vec<Push> {
        let settings = state.settings();
        let follows_blindly = self.planted == Some(Planted::StaleRevisionApplied);
        let changes = settings.changes_after(self.in_force.revision);
        match changes.filter(|_| self.in_force.revision.0 > 0 && !follows_blindly) {
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
        self.trail.push((revision, values_of(next.tree())));
        if self.has_disk {
            self.kept = Some((revision, next.tree().clone()));
        }
        self.in_force = next;
    }
}

/// The planted fault: whatever arrives comes into force.
fn obey(push: Push) -> Option<SettingsInForce> {
    match push {
        Push::Snapshot { revision, tree } => Some(SettingsInForce::new(revision, tree)),
        _ => None,
    }
}
