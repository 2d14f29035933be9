//! Fault schedule of a run, drawn from the seed.

use juniper_types::NodeId;

use crate::network::{Conditions, Partition, Zone};
use crate::queue::{MILLI, Micros, SECOND};
use crate::random::Random;

/// Machine that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Machine with this index in node order.
    Machine(u64),
    /// Leader at the time of the fault.
    Leader,
}

/// How a process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kill {
    /// Kills only the process; unsynced writes stay in the page cache.
    Process,
    /// Cuts the power of the machine.
    Power,
    /// Cuts the power after this many more disk operations.
    PowerAtOperation(u64),
}

/// Fault to inject. Durations are in virtual microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Network partition for this long.
    Partition(PartitionKind, Micros),
    /// Loss, duplication and long delays of all messages for this long.
    BadNetwork(Conditions, Micros),
    /// Suspends the process for this long.
    Freeze(Target, Micros),
    /// Kills the process and restarts it after this long.
    Kill(Target, Kill, Micros),
    /// Kills all processes at once.
    KillAll(Kill),
    /// Kills the process, and again this many times after quick restarts.
    CrashLoop(Target, Kill, u64),
    /// Replaces the disk with an empty one and starts the machine after this long.
    ReplaceDisk(Target, Micros),
    /// Replaces a voter's disk and, before that voter has caught up, cuts the power of a
    /// second voter for this long.
    LoseTwoVoters(Micros),
    /// Replaces the disk with an empty one and cuts the power of all other machines at the same
    /// moment. All start again after about this long.
    LoseDiskAndPower(Target, Micros),
    /// Sets the sync duration (first) of the disk for some time (second).
    SlowDisk(Target, Micros, Micros),
    /// Fails a sync after this many successful ones.
    FailSync(Target, u64),
    /// Limits the free disk space to this many bytes for some time.
    FullDisk(Target, usize, Micros),
    /// Cuts the power, corrupts a synced byte and restarts the machine after this long. The
    /// disk counts as lost.
    CorruptDisk(Target, Micros),
    /// Sets the wall clock offset to this many milliseconds.
    ClockJump(Target, i64),
    /// Transfers leadership to a machine, as an operator does.
    TransferLeadership(Target),
    /// Demotes or removes the replica on a machine, as an operator does.
    ChangeMembership(Target),
}

/// Extent of a network partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKind {
    /// Between two zones, in both directions.
    Zones(Zone, Zone),
    /// From the first zone to the second only.
    ZonesOneWay(Zone, Zone),
    /// All messages to and from a machine.
    Machine(Target),
    /// All messages to a machine.
    Inbound(Target),
    /// All messages from a machine.
    Outbound(Target),
}

/// Descriptions of the faults, as printed by `--list`.
pub const FAULT_NAMES: [&str; 19] = [
    "lost, duplicated, reordered and delayed messages",
    "partitions between zones",
    "one-way partitions between zones",
    "machines isolated from the network: inbound, outbound or both",
    "suspended processes",
    "killed processes",
    "power cuts at every disk operation",
    "all replicas killed at once",
    "crash loops, together with elections on a bad network",
    "lost disks",
    "a replaced disk, then a second machine lost before the first has caught up",
    "a lost disk, with a power cut of all other machines at the same moment",
    "slow disks",
    "failed syncs",
    "full disks",
    "corrupted synced data",
    "clock jumps",
    "leadership transfers",
    "replicas demoted or removed by an operator",
];

impl PartitionKind {
    /// One-way partitions that make up this kind; `node` resolves a target to its node.
    pub fn partitions(self, node: impl Fn(Target) -> Option<NodeId>) -> Vec<Partition> {
        let single = |target, partition: fn(NodeId) -> Partition| {
            node(target).map(partition).into_iter().collect()
        };
        match self {
            PartitionKind::Zones(one, other) => {
                vec![Partition::Zones(one, other), Partition::Zones(other, one)]
            }
            PartitionKind::ZonesOneWay(from, to) => vec![Partition::Zones(from, to)],
            PartitionKind::Inbound(target) => single(target, Partition::Inbound),
            PartitionKind::Outbound(target) => single(target, Partition::Outbound),
            PartitionKind::Machine(target) => {
                let both = |node| [Partition::Inbound(node), Partition::Outbound(node)];
                node(target).map(both).into_iter().flatten().collect()
            }
        }
    }
}

/// Fault with its injection time.
pub type ScheduledFault = (Micros, Fault);

/// Draws the faults of a run, from `start` to `end`. Some strike at the same time.
pub fn draw_schedule(
    random: &mut Random,
    machines: u64,
    start: Micros,
    end: Micros,
) -> Vec<ScheduledFault> {
    let count = random.between(2, 14);
    let mut schedule = Vec::new();
    let mut at = start;
    for _ in 0..count {
        // With 40% probability, the fault coincides with the previous one.
        if !random.chance(400) {
            at = random.between(start, end);
        }
        schedule.push((at + random.between(0, 30 * MILLI), draw_fault(random, machines)));
    }
    if random.chance(250) {
        schedule.extend(unsteady_election(random, machines, start, end));
    }
    schedule.sort_by_key(|(at, _)| *at);
    schedule
}

/// Draws the loss of a disk together with all other machines' power, for some runs.
pub fn draw_lost_disk_and_power(
    random: &mut Random,
    machines: u64,
    start: Micros,
    end: Micros,
) -> Option<ScheduledFault> {
    let target = match random.chance(500) {
        true => Target::Leader,
        false => Target::Machine(random.between(0, machines - 1)),
    };
    let (at, time) = (random.between(start, end), random.between(50 * MILLI, 2 * SECOND));
    random.chance(300).then_some((at, Fault::LoseDiskAndPower(target, time)))
}

/// Draws a leader crash with long network delays and crash-looping voters, so that rival
/// candidates of one term meet voters that have just restarted.
fn unsteady_election(
    random: &mut Random,
    machines: u64,
    start: Micros,
    end: Micros,
) -> Vec<ScheduledFault> {
    let at = random.between(start, end);
    let conditions = Conditions { delay_max: random.between(50, 900) * MILLI, ..Conditions::GOOD };
    let time = random.between(2 * SECOND, 5 * SECOND);
    let mut schedule = vec![
        (at, Fault::BadNetwork(conditions, time)),
        (at, Fault::Kill(Target::Leader, Kill::Process, time)),
    ];
    for _ in 0..random.between(1, 2) {
        let target = Target::Machine(random.between(0, machines - 1));
        let times = random.between(5, 40);
        schedule.push((at + MILLI, Fault::CrashLoop(target, draw_kill(random), times)));
    }
    schedule
}

fn draw_fault(random: &mut Random, machines: u64) -> Fault {
    let target = match random.chance(450) {
        true => Target::Leader,
        false => Target::Machine(random.between(0, machines - 1)),
    };
    let short = random.between(50 * MILLI, 2 * SECOND);
    let long = random.between(500 * MILLI, 7 * SECOND);
    match random.between(0, 19) {
        0 | 1 => Fault::Partition(draw_partition(random, target), long),
        2 | 3 => Fault::BadNetwork(draw_conditions(random), long),
        4 => Fault::Freeze(target, long),
        5 => Fault::Kill(target, Kill::Process, short),
        6 => Fault::Kill(target, Kill::Power, short),
        7 | 8 => Fault::Kill(target, Kill::PowerAtOperation(random.between(0, 12)), short),
        9 => Fault::KillAll(draw_kill(random)),
        10 | 11 => Fault::ReplaceDisk(target, short),
        12 => Fault::LoseTwoVoters(random.between(SECOND, 6 * SECOND)),
        13 => Fault::SlowDisk(target, random.between(5 * MILLI, 800 * MILLI), long),
        14 => Fault::FailSync(target, random.between(0, 6)),
        15 => Fault::FullDisk(target, random.between(0, 4_000) as usize, short),
        16 => Fault::CorruptDisk(target, short),
        17 => Fault::ClockJump(target, random.between(0, 7_200_000) as i64 - 3_600_000),
        18 => Fault::TransferLeadership(Target::Machine(random.between(0, machines - 1))),
        _ => Fault::ChangeMembership(Target::Machine(random.between(0, machines - 1))),
    }
}

fn draw_kill(random: &mut Random) -> Kill {
    match random.chance(500) {
        true => Kill::Process,
        false => Kill::Power,
    }
}

fn draw_partition(random: &mut Random, target: Target) -> PartitionKind {
    let zone = random.between(0, 2);
    let other = (zone + random.between(1, 2)) % 3;
    match random.between(0, 4) {
        0 => PartitionKind::Zones(zone, other),
        1 => PartitionKind::ZonesOneWay(zone, other),
        2 => PartitionKind::Machine(target),
        3 => PartitionKind::Inbound(target),
        _ => PartitionKind::Outbound(target),
    }
}

fn draw_conditions(random: &mut Random) -> Conditions {
    Conditions {
        loss: random.between(0, 400),
        duplication: random.between(0, 300),
        delay_min: MILLI,
        delay_max: random.between(2 * MILLI, 600 * MILLI),
    }
}
