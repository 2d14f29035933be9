//! Nodes and engines of a run, in proportion to the target deployment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use juniper_settings::node_file::{Peer, RouterLimits};
use juniper_types::{EngineId, NodeId, ZoneName};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::Options;

/// Number of zones of the target deployment.
const MAX_ZONES: usize = 14;

/// Nodes per zone of the target deployment (340 nodes in 14 zones); smaller runs
/// have fewer zones.
const NODES_PER_ZONE: usize = 24;

/// Engines per 100 nodes of the target deployment (1,500 engines, 340 nodes).
const ENGINES_PER_HUNDRED_NODES: usize = 441;

/// Number of real routers in a run.
pub(super) const REAL_ROUTERS: usize = 3;

/// Maximum number of hollow nodes in one process.
const NODES_PER_PROCESS: usize = 40;

/// Number of seed peers in a node's configuration.
const SEED_PEERS: usize = 3;

/// First node number of routers and hollow nodes; replicas are numbered from 1.
const FIRST_NODE: u64 = 100;

/// Shared cluster key of the run's processes.
pub(super) const CLUSTER_KEY: &str = "cluster-key-of-one-scale-run";

/// API key of the run's operator.
pub(super) const OPERATOR_KEY: &str = "operator-key-of-one-scale-run";

/// Control replica, real router or hollow node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Node {
    pub(super) node: u64,
    pub(super) zone: ZoneName,
    pub(super) internal: SocketAddr,
}

/// Configuration of one hollow process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HostLayout {
    pub(super) nodes: Vec<Node>,
    pub(super) seeds: Vec<Node>,
    pub(super) replicas: Vec<Node>,
    /// All routers and hollow nodes of the run, for partitioning a zone.
    pub(super) all: Vec<Node>,
}

/// Engine in the settings tree; hollow nodes emulate its events.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) id: EngineId,
    pub(super) zone: ZoneName,
}

/// Layout of a whole run.
#[derive(Debug)]
pub(super) struct Layout {
    pub(super) zones: Vec<ZoneName>,
    pub(super) replicas: Vec<Node>,
    pub(super) routers: Vec<Node>,
    pub(super) hosts: Vec<HostLayout>,
    pub(super) engines: Vec<Engine>,
    /// Allocator for additional addresses.
    pub(super) addresses: Addresses,
}

/// Failure to create a layout.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(super) enum LayoutError {
    /// A zone name is invalid.
    #[error(transparent)]
    Name(#[from] juniper_types::NameError),
}

/// Allocates loopback addresses: each run uses its own network, and each listener
/// its own host address in it, to avoid conflicts with other programs.
#[derive(Debug)]
pub(super) struct Addresses {
    network: u8,
    next: u16,
}

/// Port of all addresses of a run.
const PORT: u16 = 7_000;

/// Values of N for the networks `127.N.0.0/16` of runs; excludes the usual `127.0.0.1`.
const NETWORKS: std::ops::Range<u8> = 20..250;

/// Usable hosts in a block of 256 addresses, without the first and last.
const HOSTS_PER_BLOCK: u16 = 254;

impl Addresses {
    /// Creates an allocator for a random network.
    pub(super) fn random() -> Self {
        Addresses { network: rand::rng().random_range(NETWORKS), next: 0 }
    }

    /// Allocates the next address.
    pub(super) fn next(&mut self) -> SocketAddr {
        let [block, host] = [self.next / HOSTS_PER_BLOCK, self.next % HOSTS_PER_BLOCK + 1];
        self.next += 1;
        let ip = Ipv4Addr::new(127, self.network, block as u8, host as u8);
        SocketAddr::new(IpAddr::V4(ip), PORT)
    }
}

impl Layout {
    /// Creates the layout of a run. Real routers are placed in the first zone.
    pub(super) fn new(options: &Options) -> Result<Self, LayoutError> {
        let zone_count = (options.nodes / NODES_PER_ZONE).clamp(2, MAX_ZONES);
        let zone_name = |number| ZoneName::new(format!("zone-{number:02}"));
        let zones = (0..zone_count).map(zone_name).collect::<Result<Vec<_>, _>>()?;
        let mut addresses = Addresses::random();
        let mut node = |number: u64, zone: &ZoneName| Node {
            node: number,
            zone: zone.clone(),
            internal: addresses.next(),
        };
        let replicas = (0..options.replicas)
            .map(|at| node(at as u64 + 1, &zones[at % zone_count]))
            .collect::<Vec<_>>();
        let all = (0..options.nodes)
            .map(|at| node(FIRST_NODE + at as u64, &zones[zone_index(at, zone_count)]))
            .collect::<Vec<_>>();
        let (routers, hollow) = all.split_at(REAL_ROUTERS);
        let seeds: Vec<Node> =
            all.iter().step_by(options.nodes.div_ceil(SEED_PEERS)).cloned().collect();
        // Sorted by zone, so that most processes hold whole zones.
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

/// Zone index of a node: real routers share the first zone, other nodes are spread evenly.
fn zone_index(at: usize, zones: usize) -> usize {
    if at < REAL_ROUTERS { 0 } else { at % zones }
}

/// Converts control replicas or seeds into the peer entries of a node file.
pub(super) fn as_peers(nodes: &[Node], except: u64) -> Vec<Peer> {
    let others = nodes.iter().filter(|node| node.node != except);
    others
        .map(|node| Peer { id: NodeId(node.node), zone: node.zone.clone(), address: node.internal })
        .collect()
}

/// Limits of a node in the run; engines are always shared between nodes.
pub(super) fn limits() -> RouterLimits {
    RouterLimits { full_follow_engines: 1, ..RouterLimits::default() }
}
