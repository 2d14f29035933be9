//! Faults strike and end.

use juniper_consensus::{Membership, MembershipChange};
use juniper_storage::OpenError;
use juniper_types::NodeId;

use super::{ClusterViolation, Event, Mend, World};
use crate::fault::{CutKind, Fault, Kill, Target};
use crate::network::Conditions;
use crate::queue::{MILLI, Micros};
use crate::workload::Workload;

impl<W: Workload> World<W> {
    pub(super) fn strike(&mut self, fault: Fault) {
        self.note(|| format!("FAULT {fault:?}"));
        match fault {
            Fault::Cut(kind, time) => self.cut(kind, time),
            Fault::BadNetwork(conditions, time) => {
                self.network.conditions = conditions;
                self.queue.after(time, Event::Mend(Mend::Network));
            }
            Fault::Freeze(target, time) => self.freeze(target, time),
            Fault::Kill(target, kill, time) => self.kill(target, kill, time),
            Fault::KillAll(kill) => {
                let count = self.machines.len() as u64;
                (0..count).for_each(|place| self.kill(Target::Machine(place), kill, 200 * MILLI));
            }
            Fault::CrashLoop(target, kill, times) => self.crash_again(target, kill, times),
            Fault::LoseDisk(target, time) => {
                if let Some(node) = self.find(target) {
                    self.lose_disk(node, time);
                }
            }
            Fault::LoseTwo(time) => self.lose_two(time),
            Fault::SlowDisk(target, sync_time, time) => {
                self.with_machine(target, |machine| machine.sync_time = sync_time);
                self.mend_disk_after(target, time);
            }
            Fault::FailSync(target, syncs) => {
                self.with_machine(target, |machine| machine.disk.fail_sync_after(syncs));
            }
            Fault::FullDisk(target, room, time) => {
                self.with_machine(target, |machine| machine.disk.limit_room(Some(room)));
                self.mend_disk_after(target, time);
            }
            Fault::Damage(target, time) => self.damage(target, time),
            Fault::ClockJump(target, error) => {
                self.with_machine(target, |machine| machine.clock_error_ms = error);
            }
            Fault::Transfer(target) => self.transfer(target),
            Fault::TakeOut(target) => self.take_out(target),
        }
    }

    pub(super) fn mend(&mut self, mend: Mend) {
        match mend {
            Mend::Cut(cut) => self.network.mend(cut),
            Mend::Network => self.network.conditions = Conditions::GOOD,
            Mend::Disk(node) => {
                if let Some(machine) = self.machines.get_mut(&node) {
                    machine.disk.repair();
                    machine.sync_time = 2 * MILLI;
                }
            }
        }
    }

    fn find(&self, target: Target) -> Option<NodeId> {
        match target {
            Target::Machine(place) => {
                self.machines.keys().nth(usize::try_from(place).unwrap_or(0)).copied()
            }
            Target::Leader => self.leader(),
        }
    }

    fn leader(&self) -> Option<NodeId> {
        let leading = self.machines.values().filter_map(|machine| {
            let replica = machine.process.as_ref()?.replica();
            replica.is_leader().then(|| (replica.status().term, machine.node))
        });
        leading.max().map(|(_, node)| node)
    }

    fn with_machine(&mut self, target: Target, act: impl FnOnce(&mut crate::machine::Machine)) {
        if let Some(node) = self.find(target)
            && let Some(machine) = self.machines.get_mut(&node)
        {
            act(machine);
        }
    }

    fn mend_disk_after(&mut self, target: Target, time: Micros) {
        if let Some(node) = self.find(target) {
            self.queue.after(time, Event::Mend(Mend::Disk(node)));
        }
    }

    fn cut(&mut self, kind: CutKind, time: Micros) {
        for cut in kind.parts(|target| self.find(target)) {
            self.note(|| format!("cut {cut:?}"));
            self.network.cut(cut);
            self.queue.after(time, Event::Mend(Mend::Cut(cut)));
        }
    }

    fn freeze(&mut self, target: Target, time: Micros) {
        let Some(node) = self.find(target) else { return };
        let Some(machine) = self.machines.get_mut(&node) else { return };
        machine.frozen = machine.process.is_some();
        let life = machine.life;
        self.note(|| format!("{node} stands still"));
        self.queue.after(time, Event::Resume(node, life));
    }

    pub(super) fn resume(&mut self, node: NodeId, life: u64) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if machine.life != life || !machine.frozen {
            return;
        }
        machine.frozen = false;
        self.note(|| format!("{node} goes on"));
        for event in self.held.remove(&node).unwrap_or_default() {
            self.queue.after(0, event);
        }
    }

    fn kill(&mut self, target: Target, kill: Kill, time: Micros) {
        let Some(node) = self.find(target) else { return };
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if let Kill::PowerAtOperation(operations) = kill {
            machine.disk.cut_power_after(operations);
            return;
        }
        machine.stop(kill == Kill::Power);
        self.held.remove(&node);
        self.note(|| format!("{node} ends: {kill:?}"));
        self.queue.after(time, Event::Start(node));
    }

    /// Ends the process for a moment, and again as often as is left.
    fn crash_again(&mut self, target: Target, kill: Kill, times: u64) {
        self.kill(target, kill, 2 * MILLI);
        if times > 0 {
            let delay = self.random.between(10 * MILLI, 200 * MILLI);
            let fault = Fault::CrashLoop(target, kill, times - 1);
            self.queue.after(delay, Event::Strike(fault));
        }
    }

    /// Takes the disk away and gives the machine an empty one after `time`.
    /// Refused if more would be lost than a quorum bears. Returns whether it happened.
    fn lose_disk(&mut self, node: NodeId, time: Micros) -> bool {
        if !self.bears_loss_of(node) {
            self.note(|| format!("{node} keeps its disk: its loss could not be borne"));
            return false;
        }
        let Some(machine) = self.machines.get_mut(&node) else { return false };
        machine.stop(true);
        let replaced = machine.replace_disk();
        debug_assert!(replaced.is_ok());
        let id = machine.id;
        self.held.remove(&node);
        self.note(|| format!("{node} loses its disk and comes back as {id}"));
        self.queue.after(time, Event::Start(node));
        true
    }

    /// Whether, without the disk of `node`, every membership that may be in force
    /// still has a quorum of voters with their disks.
    fn bears_loss_of(&self, node: NodeId) -> bool {
        let statuses: Vec<_> = self.machines.values().filter_map(|m| m.status()).collect();
        let committed = statuses.iter().map(|status| status.commit).max().unwrap_or(0);
        let candidates = statuses.iter().filter(|status| status.last.index >= committed);
        candidates.into_iter().all(|status| self.has_quorum_without(&status.membership, node))
    }

    fn has_quorum_without(&self, membership: &Membership, node: NodeId) -> bool {
        let has_disk = |id: juniper_consensus::ReplicaId| {
            let machine = self.machines.get(&id.node).filter(|_| id.node != node);
            machine.is_some_and(|machine| machine.id == id && !machine.damaged)
        };
        membership.has_majority(has_disk)
    }

    /// One voter's disk is lost and repaired; a second voter ends before the first
    /// has caught up, and comes back later.
    fn lose_two(&mut self, time: Micros) {
        let Some(leader) = self.leader() else { return };
        let Some(status) = self.machines.get(&leader).and_then(|m| m.status()) else { return };
        let mut voters: Vec<NodeId> = status.membership.voters().map(|m| m.id.node).collect();
        let Some(first) = self.random.pick(&voters) else { return };
        voters.retain(|node| *node != first);
        let Some(second) = self.random.pick(&voters) else { return };
        let repair_time = self.random.between(50 * MILLI, 400 * MILLI);
        if !self.lose_disk(first, repair_time) {
            return;
        }
        let place = self.machines.keys().position(|node| *node == second).unwrap_or(0) as u64;
        let delay = self.random.between(0, 600 * MILLI);
        let kill = Fault::Kill(Target::Machine(place), Kill::Power, time);
        self.queue.after(delay, Event::Strike(kill));
    }

    /// Seals the log, cuts the power and changes a byte. The disk then counts as lost.
    fn damage(&mut self, target: Target, time: Micros) {
        let Some(node) = self.find(target).filter(|node| self.bears_loss_of(*node)) else { return };
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let sealed = machine.process.as_mut().is_some_and(|process| process.seal().is_ok());
        machine.stop(true);
        self.held.remove(&node);
        if sealed {
            let file = match self.random.chance(700) {
                true => self.random.pick(&machine.disk.files("segment-")),
                // Older snapshots may be left over; nothing reads them.
                false => machine.disk.files("snapshot-").pop(),
            };
            machine.damaged = file.as_ref().is_some_and(|file| machine.disk.corrupt(file));
            let damaged = machine.damaged;
            self.note(|| format!("{node} ends; a byte of {file:?} changed: {damaged}"));
        }
        self.queue.after(time, Event::Start(node));
    }

    /// The data folder could not be opened: a damaged one is wiped, a failing disk tried again.
    pub(super) fn start_failed(&mut self, node: NodeId, error: &OpenError) {
        self.note(|| format!("{node} can't start: {error}"));
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let power = machine.disk.is_without_power();
        machine.stop(power);
        let is_disk_fault = matches!(error, OpenError::Disk(_));
        if !is_disk_fault {
            if !machine.damaged {
                let cause = error.to_string();
                self.observer.report(ClusterViolation::GoodDiskRefused { node, cause });
            }
            let Some(machine) = self.machines.get_mut(&node) else { return };
            let replaced = machine.replace_disk();
            debug_assert!(replaced.is_ok());
        }
        self.start_later(node);
    }

    fn transfer(&mut self, target: Target) {
        let Some(node) = self.find(target) else { return };
        let leader = self.leader().and_then(|leader| self.machines.get_mut(&leader));
        let Some(process) = leader.and_then(|machine| machine.process.as_mut()) else { return };
        process.replica_mut().transfer_leadership(node).ok();
    }

    fn take_out(&mut self, target: Target) {
        let Some(node) = self.find(target) else { return };
        let remove = self.random.chance(500);
        let Some(leader) = self.leader() else { return };
        let Some(id) = self.machines.get(&node).map(|machine| machine.id) else { return };
        let leader = self.machines.get_mut(&leader).filter(|machine| !machine.frozen);
        let Some(process) = leader.and_then(|machine| machine.process.as_mut()) else { return };
        let change = match remove {
            true => MembershipChange::Remove(id),
            false => MembershipChange::Demote(id),
        };
        let taken = process.replica_mut().propose_membership_change(&change);
        self.note(|| format!("operator: {change:?}: {taken:?}"));
    }
}
