//! Which nodes and engines a run has, in proportion to the size designed for.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use juniper_settings::node_file::{Peer, RouterLimits};
use juniper_types::{EngineId, NodeId, ZoneName};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::Options;

/// Zones of the size designed for.
const MAX_ZONES: usize = 14;

/// Nodes in a zone below which the run has fewer zones: 340 nodes over 14 zones.
const NODES_PER_ZONE: usize = 24;

/// Engines for each node: 1,500 before 340 nodes.
const ENGINES_PER_HUNDRED_NODES: usize = 441;

/// Real routers beside the hollow nodes.
pub(super) const REAL_ROUTERS: usize = 3;

/// Hollow nodes in one process.
const NODES_PER_PROCESS: usize = 40;

/// Other nodes that a node is told of at its start.
const SEED_PEERS: usize = 3;

/// First node number of routers and hollow nodes; replicas are numbered from 1.
const FIRST_NODE: u64 = 100;

/// Secret that the processes of the run share.
pub(super) const CLUSTER_KEY: &str = "cluster-key-of-one-scale-run";

/// Key of the run's operator.
pub(super) const OPERATOR_KEY: &str = "operator-key-of-one-scale-run";

/// One node: a hollow one or a real router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Node {
    pub(super) node: u64,
    pub(super) zone: ZoneName,
    pub(super) internal: SocketAddr,
}

/// What one hollow process is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HostLayout {
    pub(super) nodes: Vec<Node>,
    pub(super) seeds: Vec<Node>,
    pub(super) replicas: Vec<Node>,
    /// Everything outside each zone, for cuts: all nodes of the run.
    pub(super) all: Vec<Node>,
}

/// An engine that exists in the settings tree only, or an emulated one.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) id: EngineId,
    pub(super) zone: ZoneName,
}

/// The whole run.
#[derive(Debug)]
pub(super) struct Layout {
    pub(super) zones: Vec<ZoneName>,
    pub(super) replicas: Vec<Node>,
    pub(super) routers: Vec<Node>,
    pub(super) hosts: Vec<HostLayout>,
    pub(super) engines: Vec<Engine>,
    /// Further addresses.
    pub(super) addresses: Addresses,
}

/// Why a layout can't be made.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(super) enum LayoutError {
    /// A zone name was refused.
    #[error(transparent)]
    Name(#[from] juniper_types::NameError),
}

/// Hands out addresses that nobody else on the machine uses: each run has a
/// loopback network of its own, and each address a host of its own in it.
#[derive(Debug)]
pub(super) struct Addresses {
    network: u8,
    next: u16,
}

/// Port of every address of a run.
const PORT: u16 = 7_000;

/// Networks `127.N.0.0/16` that runs draw from; programs at large use `127.0.0.1`.
const NETWORKS: std::ops::Range<u8> = 20..250;

/// Hosts in a block of 256 addresses, without its first and last.
const HOSTS_PER_BLOCK: u16 = 254;

impl Addresses {
    /// Addresses of a network drawn at random.
    pub(super) fn draw() -> Self {
        Addresses { network: rand::rng().random_range(NETWORKS), next: 0 }
    }

    /// The next address.
    pub(super) fn next(&mut self) -> SocketAddr {
        let [block, host] = [self.next / HOSTS_PER_BLOCK, self.next % HOSTS_PER_BLOCK + 1];
        self.next += 1;
        let ip = Ipv4Addr::new(127, self.network, block as u8, host as u8);
        SocketAddr::new(IpAddr::V4(ip), PORT)
    }
}

impl Layout {
    /// Lays out a run. Real routers stand in the first zone.
    pub(super) fn new(options: &Options) -> Result<Self, LayoutError> {
        let zone_count = (options.nodes / NODES_PER_ZONE).clamp(2, MAX_ZONES);
        let zone_name = |number| ZoneName::new(format!("zone-{number:02}"));
        let zones = (0..zone_count).map(zone_name).collect::<Result<Vec<_>, _>>()?;
        let mut addresses = Addresses::draw();
        let mut node = |number: u64, zone: &ZoneName| Node {
            node: number,
            zone: zone.clone(),
            internal: addresses.next(),
        };
        let replicas = (0..options.replicas)
            .map(|at| node(at as u64 + 1, &zones[at % zone_count]))
            .collect::<Vec<_>>();
        let all = (0..options.nodes)
            .map(|at| node(FIRST_NODE + at as u64, &zones[home(at, zone_count)]))
            .collect::<Vec<_>>();
        let (routers, hollow) = all.split_at(REAL_ROUTERS);
        let seeds: Vec<Node> =
            all.iter().step_by(options.nodes.div_ceil(SEED_PEERS)).cloned().collect();
        // A process holds whole zones where it can, so that sorting by zone comes first.
        let mut hollow = hollow.to_vec();
        hollow.sort_by(|a, b| (&a.zone, a.node).cmp(&(&b.zone, b.node)));
        let host = |nodes: &[Node]| HostLayout {
            nodes: nodes.to_vec(),
            seeds: seeds.clone(),
            replicas: replicas.clone(),
            all: all.clone(),
        };
        let hosts = hollow.chunks(NODES_PER_PROCESS).map(host).collect();
        let engine_count = options.nodes * ENGINES_PER_HUNDRED_NODES / 100;
        let engine = |at: usize| Engine {
            id: EngineId(at as u32 + 1),
            zone: zones[at % zone_count].clone(),
        };
        let engines = (0..engine_count).map(engine).collect();
        Ok(Layout { zones, replicas, routers: routers.to_vec(), hosts, engines, addresses })
    }
}

/// The real routers share the first zone; the rest are spread evenly.
fn home(at: usize, zones: usize) -> usize {
    if at < REAL_ROUTERS { 0 } else { at % zones }
}

/// The control replicas or seeds as a node file names them.
pub(super) fn as_peers(nodes: &[Node], except: u64) -> Vec<Peer> {
    let others = nodes.iter().filter(|node| node.node != except);
    others
        .map(|node| Peer { id: NodeId(node.node), zone: node.zone.clone(), address: node.internal })
        .collect()
}

/// Bounds of a node of the run: engines are always shared.
pub(super) fn limits() -> RouterLimits {
    RouterLimits { full_follow_engines: 1, ..RouterLimits::default() }
}
