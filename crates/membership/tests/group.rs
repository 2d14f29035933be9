//! Groups of detectors over a simulated lossy network in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use juniper_membership::{Action, Detector, DetectorConfig, Liveness, Member, MemberRole, Message};
use juniper_types::{Incarnation, NodeId, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(50);

struct Group {
    now: Timestamp,
    nodes: BTreeMap<u64, Detector>,
    frozen: BTreeSet<u64>,
    partitioned: BTreeSet<(u64, u64)>,
    loss: f64,
    random: ChaCha8Rng,
    in_flight: Vec<(u64, u64, Message)>,
    sent: u64,
}

fn address(node: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7000))
}

fn node_of(address: SocketAddr) -> u64 {
    match address {
        SocketAddr::V4(v4) => u64::from(v4.ip().octets()[2]) * 250 + u64::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("the group uses IPv4"),
    }
}

fn detector(node: u64, incarnation: u64) -> Detector {
    let member = Member {
        node: NodeId(node),
        zone: ZoneName::new("hartford").expect("valid zone"),
        role: MemberRole::Router,
        address: address(node),
        incarnation: Incarnation(incarnation),
    };
    Detector::new(
        DetectorConfig::default(),
        member,
        vec![address(1), address(2)],
        node * 31 + incarnation,
    )
}

impl Group {
    fn new(size: u64, loss: f64, seed: u64) -> Self {
        Group {
            now: Timestamp::ZERO,
            nodes: (1..=size).map(|node| (node, detector(node, 1))).collect(),
            frozen: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            loss,
            random: ChaCha8Rng::seed_from_u64(seed),
            in_flight: Vec::new(),
            sent: 0,
        }
    }

    fn execute(&mut self, from: u64, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { address, message } = action else { continue };
            self.sent += 1;
            let to = node_of(address);
            let lost = self.random.random_bool(self.loss) || self.partitioned.contains(&(from, to));
            if !lost {
                self.in_flight.push((from, to, message));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(STEP);
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                if self.frozen.contains(&to) || self.partitioned.contains(&(from, to)) {
                    continue;
                }
                let now = self.now;
                if let Some(node) = self.nodes.get_mut(&to) {
                    let actions = node.receive(message, now);
                    self.execute(to, actions);
                }
            }
            let running: Vec<u64> =
                self.nodes.keys().copied().filter(|node| !self.frozen.contains(node)).collect();
            for node in running {
                let now = self.now;
                let actions = self.nodes.get_mut(&node).map(|n| n.tick(now)).unwrap_or_default();
                self.execute(node, actions);
            }
        }
    }

    fn liveness(&self, observer: u64, subject: u64) -> Option<Liveness> {
        let known = self.nodes[&observer].table().get(NodeId(subject))?;
        Some(known.update.liveness)
    }

    fn everyone_sees(&self, subject: u64, liveness: Liveness) -> bool {
        self.nodes
            .keys()
            .filter(|observer| **observer != subject && !self.frozen.contains(observer))
            .all(|observer| self.liveness(*observer, subject) == Some(liveness))
    }

    fn all_see_all_alive(&self) -> bool {
        self.nodes.keys().all(|subject| self.everyone_sees(*subject, Liveness::Alive))
    }

    fn partition(&mut self, left: &[u64], right: &[u64]) {
        for a in left {
            for b in right {
                self.partitioned.insert((*a, *b));
                self.partitioned.insert((*b, *a));
            }
        }
    }
}

#[test]
fn a_group_forms_despite_loss() {
    for seed in 0..10 {
        let mut group = Group::new(20, 0.05, seed);
        group.run(Duration::from_secs(40));
        group.loss = 0.0;
        group.run(Duration::from_secs(20));
        assert!(group.all_see_all_alive(), "seed {seed}");
    }
}

#[test]
fn a_large_group_that_starts_at_once_forms_within_30_s() {
    let mut group = Group::new(200, 0.01, 12);
    group.run(Duration::from_secs(30));
    assert!(group.all_see_all_alive());
}

#[test]
fn a_crash_is_detected_by_all_and_a_new_incarnation_replaces_it() {
    for seed in 0..10 {
        let mut group = Group::new(12, 0.02, seed);
        group.run(Duration::from_secs(30));
        group.nodes.remove(&7);
        group.run(Duration::from_secs(40));
        assert!(group.everyone_sees(7, Liveness::Dead), "seed {seed}: crash not detected");
        group.nodes.insert(7, detector(7, 2));
        group.run(Duration::from_secs(40));
        assert!(group.everyone_sees(7, Liveness::Alive), "seed {seed}: restart not detected");
        let incarnations: BTreeSet<u64> = group
            .nodes
            .iter()
            .filter(|(node, _)| **node != 7)
            .filter_map(|(_, detector)| detector.table().get(NodeId(7)))
            .map(|known| known.update.member.incarnation.0)
            .collect();
        assert_eq!(incarnations, BTreeSet::from([2]), "seed {seed}");
    }
}

#[test]
fn a_member_declared_dead_in_a_freeze_is_alive_again_after_it() {
    for seed in 0..10 {
        let mut group = Group::new(8, 0.0, seed);
        group.run(Duration::from_secs(20));
        group.frozen.insert(3);
        group.run(Duration::from_secs(30));
        assert!(group.everyone_sees(3, Liveness::Dead), "seed {seed}");
        group.frozen.remove(&3);
        group.run(Duration::from_secs(40));
        assert!(group.all_see_all_alive(), "seed {seed}: the frozen node is not seen as alive");
    }
}

#[test]
fn sides_of_an_hour_long_partition_merge_again() {
    for seed in 0..3 {
        let mut group = Group::new(9, 0.0, seed);
        group.run(Duration::from_secs(20));
        group.partition(&[1, 2, 3, 4], &[5, 6, 7, 8, 9]);
        group.run(Duration::from_secs(3_600));
        assert!(group.liveness(1, 9).is_none_or(|liveness| liveness == Liveness::Dead));
        assert_eq!(group.liveness(5, 9), Some(Liveness::Alive));
        group.partitioned.clear();
        group.run(Duration::from_secs(120));
        assert!(group.all_see_all_alive(), "seed {seed}: the sides did not merge");
    }
}

#[test]
fn a_one_way_partition_does_not_kill_a_member_that_others_reach() {
    for seed in 0..10 {
        let mut group = Group::new(8, 0.0, seed);
        group.run(Duration::from_secs(20));
        group.partitioned.insert((1, 2));
        group.run(Duration::from_secs(60));
        assert_ne!(group.liveness(1, 2), Some(Liveness::Dead), "seed {seed}");
    }
}

#[test]
fn a_leaving_member_is_known_as_left() {
    let mut group = Group::new(8, 0.0, 5);
    group.run(Duration::from_secs(20));
    let actions = group.nodes.get_mut(&4).map(Detector::leave).unwrap_or_default();
    group.execute(4, actions);
    group.run(Duration::from_millis(100));
    group.nodes.remove(&4);
    group.run(Duration::from_secs(10));
    assert!(group.everyone_sees(4, Liveness::Left));
}

#[test]
fn the_cost_per_node_does_not_grow_with_the_group() {
    let messages_per_node = |size: u64| {
        let mut group = Group::new(size, 0.0, 1);
        group.run(Duration::from_secs(60));
        let before = group.sent;
        group.run(Duration::from_secs(60));
        (group.sent - before) as f64 / size as f64 / 60.0
    };
    let (small, large) = (messages_per_node(10), messages_per_node(80));
    assert!(large < small * 1.3, "{small} messages per second at 10 members, {large} at 80");
}
