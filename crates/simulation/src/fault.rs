//! Faults and when they strike, drawn from the seed.

use juniper_types::NodeId;

use crate::network::{Conditions, Cut, Zone};
use crate::queue::{MILLI, Micros, SECOND};
use crate::random::Random;

/// Machine that a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The machine with this place among all.
    Machine(u64),
    /// Whichever leads when the fault strikes.
    Leader,
}

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kill {
    /// The process alone; the system's cache stays.
    Process,
    /// The machine loses power.
    Power,
    /// The machine loses power after this many more disk operations.
    PowerAtOperation(u64),
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A cut, for a while.
    Cut(CutKind, Micros),
    /// Loss, copies and long delays everywhere, for a while.
    BadNetwork(Conditions, Micros),
    /// The process stands still, and goes on as if nothing had been.
    Freeze(Target, Micros),
    /// The process ends, and starts again after a while.
    Kill(Target, Kill, Micros),
    /// Every process ends at once.
    KillAll(Kill),
    /// The process ends and starts again this many times, at once each time.
    CrashLoop(Target, Kill, u64),
    /// The disk is lost; after a while the machine has an empty one.
    LoseDisk(Target, Micros),
    /// A voter's disk is lost and repaired, and a second voter ends for a while
    /// before the first has caught up.
    LoseTwo(Micros),
    /// The disk takes this much longer, for a while.
    SlowDisk(Target, Micros, Micros),
    /// The sync after this many more fails.
    FailSync(Target, u64),
    /// The disk has room for this many bytes, for a while.
    FullDisk(Target, usize, Micros),
    /// A synced byte changes while the machine is off; the disk counts as lost.
    Damage(Target, Micros),
    /// The machine's clock jumps by this many milliseconds.
    ClockJump(Target, i64),
    /// An operator hands leadership to a machine.
    Transfer(Target),
    /// An operator demotes or removes the replica on a machine.
    TakeOut(Target),
}

/// What is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// Two zones, in both directions.
    Zones(Zone, Zone),
    /// One zone to another, not back.
    ZonesOneWay(Zone, Zone),
    /// A machine from everything.
    Machine(Target),
    /// Everything to a machine.
    Inbound(Target),
    /// A machine to everything.
    Outbound(Target),
}

/// The names that `--list` shows.
pub const FAULT_NAMES: [&str; 18] = [
    "lost, repeated, reordered and late messages",
    "cuts between zones",
    "one-way cuts between zones",
    "machines cut off from all, inbound, outbound or both",
    "freezes",
    "killed processes",
    "power cuts at every disk operation",
    "all replicas killed at once",
    "crash loops, together with elections on a bad network",
    "lost disks",
    "a lost and repaired disk, then a second machine lost before the first has caught up",
    "slow disks",
    "failed syncs",
    "full disks",
    "damaged synced data",
    "clocks that jump",
    "leadership handed over",
    "replicas taken out by an operator",
];

impl CutKind {
    /// The cuts that it consists of; `node` finds the machine of a target.
    pub fn parts(self, node: impl Fn(Target) -> Option<NodeId>) -> Vec<Cut> {
        let of = |target, cut: fn(NodeId) -> Cut| node(target).map(cut).into_iter().collect();
        match self {
            CutKind::Zones(one, other) => vec![Cut::Zones(one, other), Cut::Zones(other, one)],
            CutKind::ZonesOneWay(from, to) => vec![Cut::Zones(from, to)],
            CutKind::Inbound(target) => of(target, Cut::Inbound),
            CutKind::Outbound(target) => of(target, Cut::Outbound),
            CutKind::Machine(target) => {
                let cuts = |node| [Cut::Inbound(node), Cut::Outbound(node)];
                node(target).map(cuts).into_iter().flatten().collect()
            }
        }
    }
}

/// A fault with the time at which it strikes.
pub type Planned = (Micros, Fault);

/// Draws the faults of a run. Some runs have few, some have several at once.
pub fn plan(random: &mut Random, machines: u64, start: Micros, end: Micros) -> Vec<Planned> {
    let count = random.between(2, 14);
    let mut planned = Vec::new();
    let mut at = start;
    for _ in 0..count {
        // Two faults in five strike together with the one before.
        if !random.chance(400) {
            at = random.between(start, end);
        }
        planned.push((at + random.between(0, 30 * MILLI), draw(random, machines)));
    }
    if random.chance(250) {
        planned.extend(unsteady_election(random, machines, start, end));
    }
    planned.sort_by_key(|(at, _)| *at);
    planned
}

/// The leader ends on a bad network while voters crash again and again: rival
/// candidates in one term meet voters that have just restarted.
fn unsteady_election(
    random: &mut Random,
    machines: u64,
    start: Micros,
    end: Micros,
) -> Vec<Planned> {
    let at = random.between(start, end);
    let conditions = Conditions { delay_max: random.between(50, 900) * MILLI, ..Conditions::GOOD };
    let time = random.between(2 * SECOND, 5 * SECOND);
    let mut planned = vec![
        (at, Fault::BadNetwork(conditions, time)),
        (at, Fault::Kill(Target::Leader, Kill::Process, time)),
    ];
    for _ in 0..random.between(1, 2) {
        let target = Target::Machine(random.between(0, machines - 1));
        let times = random.between(5, 40);
        planned.push((at + MILLI, Fault::CrashLoop(target, draw_kill(random), times)));
    }
    planned
}

fn draw(random: &mut Random, machines: u64) -> Fault {
    let target = match random.chance(450) {
        true => Target::Leader,
        false => Target::Machine(random.between(0, machines - 1)),
    };
    let short = random.between(50 * MILLI, 2 * SECOND);
    let long = random.between(500 * MILLI, 7 * SECOND);
    match random.between(0, 19) {
        0 | 1 => Fault::Cut(draw_cut(random, target), long),
        2 | 3 => Fault::BadNetwork(draw_conditions(random), long),
        4 => Fault::Freeze(target, long),
        5 => Fault::Kill(target, Kill::Process, short),
        6 => Fault::Kill(target, Kill::Power, short),
        7 | 8 => Fault::Kill(target, Kill::PowerAtOperation(random.between(0, 12)), short),
        9 => Fault::KillAll(draw_kill(random)),
        10 | 11 => Fault::LoseDisk(target, short),
        12 => Fault::LoseTwo(random.between(SECOND, 6 * SECOND)),
        13 => Fault::SlowDisk(target, random.between(5 * MILLI, 800 * MILLI), long),
        14 => Fault::FailSync(target, random.between(0, 6)),
        15 => Fault::FullDisk(target, random.between(0, 4_000) as usize, short),
        16 => Fault::Damage(target, short),
        17 => Fault::ClockJump(target, random.between(0, 7_200_000) as i64 - 3_600_000),
        18 => Fault::Transfer(Target::Machine(random.between(0, machines - 1))),
        _ => Fault::TakeOut(Target::Machine(random.between(0, machines - 1))),
    }
}

fn draw_kill(random: &mut Random) -> Kill {
    match random.chance(500) {
        true => Kill::Process,
        false => Kill::Power,
    }
}

fn draw_cut(random: &mut Random, target: Target) -> CutKind {
    let zone = random.between(0, 2);
    let other = (zone + random.between(1, 2)) % 3;
    match random.between(0, 4) {
        0 => CutKind::Zones(zone, other),
        1 => CutKind::ZonesOneWay(zone, other),
        2 => CutKind::Machine(target),
        3 => CutKind::Inbound(target),
        _ => CutKind::Outbound(target),
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
