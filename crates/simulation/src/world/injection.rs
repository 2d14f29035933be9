//! Injection and end of faults.

use juniper_consensus::{Membership, MembershipChange};
use juniper_storage::OpenError;
use juniper_types::NodeId;

use super::{ClusterViolation, Event, FaultEnd, World};
use crate::fault::{Fault, Kill, PartitionKind, Target};
use crate::network::Conditions;
use crate::queue::{MILLI, Micros};
use crate::workload::Workload;

impl<W: Workload> World<W> {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        self.note(|| format!("FAULT {fault:?}"));
        match fault {
            Fault::Partition(kind, time) => self.partition(kind, time),
            Fault::BadNetwork(conditions, time) => {
                self.network.conditions = conditions;
                self.queue.schedule_after(time, Event::EndFault(FaultEnd::Network));
            }
            Fault::Freeze(target, time) => self.freeze(target, time),
            Fault::Kill(target, kill, time) => self.kill(target, kill, time),
            Fault::KillAll(kill) => {
                let count = self.machines.len() as u64;
                (0..count).for_each(|index| self.kill(Target::Machine(index), kill, 200 * MILLI));
            }
            Fault::CrashLoop(target, kill, times) => self.crash_loop(target, kill, times),
            Fault::ReplaceDisk(target, time) => {
                if let Some(node) = self.find_node(target) {
                    self.replace_disk_of(node, time);
                }
            }
            Fault::LoseDiskAndPower(target, time) => self.lose_disk_and_power(target, time),
            Fault::LoseTwoVoters(time) => self.lose_two_voters(time),
            Fault::SlowDisk(target, sync_time, time) => {
                self.update_machine(target, |machine| machine.sync_time = sync_time);
                self.schedule_disk_repair(target, time);
            }
            Fault::FailSync(target, syncs) => {
                self.update_machine(target, |machine| machine.disk.fail_sync_after(syncs));
            }
            Fault::FullDisk(target, bytes, time) => {
                self.update_machine(target, |machine| machine.disk.limit_free_space(Some(bytes)));
                self.schedule_disk_repair(target, time);
            }
            Fault::CorruptDisk(target, time) => self.corrupt_disk(target, time),
            Fault::ClockJump(target, error) => {
                self.update_machine(target, |machine| machine.clock_error_ms = error);
            }
            Fault::TransferLeadership(target) => self.transfer_leadership(target),
            Fault::ChangeMembership(target) => self.change_membership(target),
        }
    }

    pub(super) fn end_fault(&mut self, end: FaultEnd) {
        match end {
            FaultEnd::Partition(partition) => self.network.remove_partition(partition),
            FaultEnd::Network => self.network.conditions = Conditions::GOOD,
            FaultEnd::Disk(node) => {
                if let Some(machine) = self.machines.get_mut(&node) {
                    machine.disk.repair();
                    machine.sync_time = 2 * MILLI;
                }
            }
        }
    }

    fn find_node(&self, target: Target) -> Option<NodeId> {
        match target {
            Target::Machine(index) => {
                self.machines.keys().nth(usize::try_from(index).unwrap_or(0)).copied()
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

    fn update_machine(
        &mut self,
        target: Target,
        update: impl FnOnce(&mut crate::machine::Machine),
    ) {
        if let Some(node) = self.find_node(target)
            && let Some(machine) = self.machines.get_mut(&node)
        {
            update(machine);
        }
    }

    fn schedule_disk_repair(&mut self, target: Target, time: Micros) {
        if let Some(node) = self.find_node(target) {
            self.queue.schedule_after(time, Event::EndFault(FaultEnd::Disk(node)));
        }
    }

    fn partition(&mut self, kind: PartitionKind, time: Micros) {
        for partition in kind.partitions(|target| self.find_node(target)) {
            self.note(|| format!("partition {partition:?}"));
            self.network.add_partition(partition);
            self.queue.schedule_after(time, Event::EndFault(FaultEnd::Partition(partition)));
        }
    }

    fn freeze(&mut self, target: Target, time: Micros) {
        let Some(node) = self.find_node(target) else { return };
        let Some(machine) = self.machines.get_mut(&node) else { return };
        machine.frozen = machine.process.is_some();
        let incarnation = machine.incarnation;
        self.note(|| format!("{node} is suspended"));
        self.queue.schedule_after(time, Event::Resume(node, incarnation));
    }

    pub(super) fn resume(&mut self, node: NodeId, incarnation: u64) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if machine.incarnation != incarnation || !machine.frozen {
            return;
        }
        machine.frozen = false;
        self.note(|| format!("{node} resumes"));
        for event in self.deferred.remove(&node).unwrap_or_default() {
            self.queue.schedule_after(0, event);
        }
    }

    fn kill(&mut self, target: Target, kill: Kill, time: Micros) {
        let Some(node) = self.find_node(target) else { return };
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if let Kill::PowerAtOperation(operations) = kill {
            machine.disk.cut_power_after(operations);
            return;
        }
        machine.stop(kill == Kill::Power);
        self.deferred.remove(&node);
        self.note(|| format!("{node} is killed: {kill:?}"));
        self.queue.schedule_after(time, Event::Start(node));
    }

    /// Kills the process, restarts it shortly after and repeats this `times` more times.
    fn crash_loop(&mut self, target: Target, kill: Kill, times: u64) {
        self.kill(target, kill, 2 * MILLI);
        if times > 0 {
            let delay = self.random.between(10 * MILLI, 200 * MILLI);
            let fault = Fault::CrashLoop(target, kill, times - 1);
            self.queue.schedule_after(delay, Event::InjectFault(fault));
        }
    }

    /// Replaces the disk with an empty one and starts the machine after `time`. Does nothing
    /// and returns `false` if too few voters with intact disks would remain for a quorum.
    fn replace_disk_of(&mut self, node: NodeId, time: Micros) -> bool {
        if !self.can_lose_disk_of(node) {
            self.note(|| format!("{node} keeps its disk: a quorum needs it"));
            return false;
        }
        let Some(machine) = self.machines.get_mut(&node) else { return false };
        machine.stop(true);
        let replaced = machine.replace_disk();
        debug_assert!(replaced.is_ok());
        let id = machine.id;
        self.deferred.remove(&node);
        self.note(|| format!("{node} loses its disk; its new identity is {id}"));
        self.queue.schedule_after(time, Event::Start(node));
        true
    }

    /// Whether every membership that may be in force has a quorum of voters with intact disks
    /// without that of `node`.
    fn can_lose_disk_of(&self, node: NodeId) -> bool {
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

    /// Replaces a disk and cuts the power of all other machines at the same moment, so that what was
    /// acknowledged is left on their disks only.
    fn lose_disk_and_power(&mut self, target: Target, time: Micros) {
        let Some(lost) = self.find_node(target) else { return };
        if !self.replace_disk_of(lost, time) {
            return;
        }
        let others: Vec<u64> = (0..)
            .zip(self.machines.keys())
            .filter(|(_, node)| **node != lost)
            .map(|(index, _)| index)
            .collect();
        for index in others {
            let restart_after = time + self.random.between(0, 400 * MILLI);
            self.kill(Target::Machine(index), Kill::Power, restart_after);
        }
    }

    /// Replaces a voter's disk, then cuts the power of a second voter for `time`, before the
    /// first is likely to have caught up.
    fn lose_two_voters(&mut self, time: Micros) {
        let Some(leader) = self.leader() else { return };
        let Some(status) = self.machines.get(&leader).and_then(|m| m.status()) else { return };
        let mut voters: Vec<NodeId> = status.membership.voters().map(|m| m.id.node).collect();
        let Some(first) = self.random.pick(&voters) else { return };
        voters.retain(|node| *node != first);
        let Some(second) = self.random.pick(&voters) else { return };
        let repair_time = self.random.between(50 * MILLI, 400 * MILLI);
        if !self.replace_disk_of(first, repair_time) {
            return;
        }
        let index = self.machines.keys().position(|node| *node == second).unwrap_or(0) as u64;
        let delay = self.random.between(0, 600 * MILLI);
        let kill = Fault::Kill(Target::Machine(index), Kill::Power, time);
        self.queue.schedule_after(delay, Event::InjectFault(kill));
    }

    /// Seals the log, cuts the power and corrupts a byte. The disk then counts as lost.
    fn corrupt_disk(&mut self, target: Target, time: Micros) {
        let Some(node) = self.find_node(target).filter(|node| self.can_lose_disk_of(*node)) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let sealed = machine.process.as_mut().is_some_and(|process| process.seal().is_ok());
        machine.stop(true);
        self.deferred.remove(&node);
        if sealed {
            let file = match self.random.chance(700) {
                true => self.random.pick(&machine.disk.files("segment-")),
                // The newest snapshot only: older ones are never read.
                false => machine.disk.files("snapshot-").pop(),
            };
            machine.damaged = file.as_ref().is_some_and(|file| machine.disk.corrupt(file));
            let damaged = machine.damaged;
            self.note(|| format!("{node} loses power; corrupted a byte of {file:?}: {damaged}"));
        }
        self.queue.schedule_after(time, Event::Start(node));
    }

    /// Handles a failure to open the data folder: replaces a damaged disk, and schedules
    /// another start.
    pub(super) fn handle_start_failure(&mut self, node: NodeId, error: &OpenError) {
        self.note(|| format!("{node} failed to start: {error}"));
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let power_lost = machine.disk.is_without_power();
        machine.stop(power_lost);
        let is_disk_fault = matches!(error, OpenError::Disk(_));
        if !is_disk_fault {
            if !machine.damaged {
                let cause = error.to_string();
                self.observer.report(ClusterViolation::IntactDiskRejected { node, cause });
            }
            let Some(machine) = self.machines.get_mut(&node) else { return };
            let replaced = machine.replace_disk();
            debug_assert!(replaced.is_ok());
        }
        self.schedule_restart(node);
    }

    fn transfer_leadership(&mut self, target: Target) {
        let Some(node) = self.find_node(target) else { return };
        let leader = self.leader().and_then(|leader| self.machines.get_mut(&leader));
        let Some(process) = leader.and_then(|machine| machine.process.as_mut()) else { return };
        process.replica_mut().transfer_leadership(node).ok();
    }

    fn change_membership(&mut self, target: Target) {
        let Some(node) = self.find_node(target) else { return };
        let remove = self.random.chance(500);
        let Some(leader) = self.leader() else { return };
        let Some(id) = self.machines.get(&node).map(|machine| machine.id) else { return };
        let leader = self.machines.get_mut(&leader).filter(|machine| !machine.frozen);
        let Some(process) = leader.and_then(|machine| machine.process.as_mut()) else { return };
        let change = match remove {
            true => MembershipChange::Remove(id),
            false => MembershipChange::Demote(id),
        };
        let result = process.replica_mut().propose_membership_change(&change);
        self.note(|| format!("operator: {change:?}: {result:?}"));
    }
}
