//! Small fleet of real processes on one machine.
//!
//! Starts the daemons and the emulators and injects faults into them. All processes are
//! killed when the [`Fleet`] is dropped.

mod back_ends;
mod binaries;
mod error;
mod faults;
mod node_files;
mod operator;
mod process;
mod tree;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use juniper_emulators::trace::Profile;
use juniper_loopback::unused_address;
use juniper_types::{ChangeId, ZoneName};

pub use juniper_settings::BackEndKind;

pub use self::back_ends::{BackEndProcess, ENDS_BACK_ENDS, FleetSizes};
pub use self::binaries::{Binaries, DAEMON_COMMAND};
pub use self::error::FleetError;
pub use self::node_files::{NodeAddress, OPERATOR_KEY};
pub use self::operator::Operator;
pub use self::process::{ManagedProcess, Signal};
pub use self::tree::{LISTING_SERVICE, PREVIEW_SERVICE};

use self::back_ends::BackEndPlan;
use self::node_files::{ControlNode, RouterNode, write_control, write_router};
use self::tree::{SettingsChange, ZoneBackEnds, whole_tree};
use crate::load::{ExecutionSource, RouterTarget};
use crate::proxy::{LinkProxy, LinkState};

/// Node id of the first control replica, on which the cluster is created.
const FIRST_CONTROL: u64 = 1;

/// Node id of the first router.
const FIRST_ROUTER: u64 = 11;

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Programs to run.
    pub binaries: Binaries,
    /// Folder for settings files, logs and data.
    pub folder: PathBuf,
    /// Deployment profile of the fleet.
    pub profile: Profile,
    /// Number of processes of each kind.
    pub sizes: FleetSizes,
    /// Duration of a call to an application server.
    pub application_work: Duration,
    /// Whether the last zone is connected through proxies, so that it can be partitioned.
    pub cuttable: bool,
}

/// Control replica with its process.
#[derive(Debug)]
struct Control {
    node: ControlNode,
    process: ManagedProcess,
}

/// Router with its process.
#[derive(Debug)]
struct Router {
    node: RouterNode,
    process: ManagedProcess,
}

/// Running fleet.
#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    zones: Vec<ZoneBackEnds>,
    control: Vec<Control>,
    routers: Vec<Router>,
    back_ends: Vec<BackEndProcess>,
    /// Proxies between the last zone and the others.
    links: Vec<LinkProxy>,
    operator: Operator,
    revision: u64,
}

impl Fleet {
    /// Starts all processes, applies the settings tree of the profile and waits until all
    /// routers serve with it.
    ///
    /// # Errors
    /// Fails when a process can't be started or doesn't serve in time.
    pub async fn start(options: FleetOptions) -> Result<Self, FleetError> {
        let FleetOptions { binaries, folder, profile, sizes, application_work, cuttable } = options;
        let zone_names = profile.names()?.zones;
        let control = start_control(&binaries, &folder, sizes.control, &zone_names)?;
        let plan = BackEndPlan {
            binaries: &binaries,
            folder: &folder,
            profile,
            sizes,
            application_work,
            zones: &zone_names,
        };
        let back_ends = plan.start()?;
        let mut fleet = Fleet {
            folder,
            zones: Vec::new(),
            control,
            routers: Vec::new(),
            back_ends,
            links: Vec::new(),
            operator: Operator::default(),
            revision: 0,
        };
        fleet.zones = fleet.zone_back_ends(&zone_names, cuttable).await?;
        fleet.start_routers(&binaries, sizes.routers, &zone_names, cuttable).await?;
        fleet.wait_for_back_ends().await?;
        let edits = whole_tree(profile, &fleet.zones)?;
        fleet.change("first", edits).await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the zones for the settings tree. In a fleet that can be partitioned, the
    /// back ends of all zones but the last are reached through proxies.
    async fn zone_back_ends(
        &mut self,
        zone_names: &[ZoneName],
        cuttable: bool,
    ) -> Result<Vec<ZoneBackEnds>, FleetError> {
        let mut zones = Vec::new();
        for (place, zone) in zone_names.iter().enumerate() {
            let is_last = place + 1 == zone_names.len();
            let own: Vec<_> = self
                .back_ends
                .iter()
                .filter(|b| b.zone == *zone)
                .map(|b| b.entry.clone())
                .collect();
            let mut back_ends = Vec::new();
            for mut entry in own {
                if cuttable && !is_last {
                    entry.address = self.start_link_proxy(entry.address).await?;
                }
                back_ends.push(entry);
            }
            zones.push(ZoneBackEnds { zone: zone.clone(), back_ends });
        }
        Ok(zones)
    }

    /// Starts a proxy to `target` that is partitioned together with the last zone and
    /// returns the proxy's address.
    async fn start_link_proxy(&mut self, target: SocketAddr) -> Result<SocketAddr, FleetError> {
        let link = LinkProxy::start(target).await.map_err(FleetError::Proxy)?;
        let address = link.address();
        self.links.push(link);
        Ok(address)
    }

    async fn start_routers(
        &mut self,
        binaries: &Binaries,
        count: usize,
        zone_names: &[ZoneName],
        cuttable: bool,
    ) -> Result<(), FleetError> {
        let control: Vec<NodeAddress> = self.control.iter().map(|c| c.node.node.clone()).collect();
        let mut far_control = control.clone();
        for node in far_control.iter_mut().filter(|_| cuttable) {
            node.internal = self.start_link_proxy(node.internal).await?;
        }
        let mut nodes = Vec::new();
        for (id, zone) in (FIRST_ROUTER..).zip(zone_names.iter().cycle()).take(count) {
            let node = NodeAddress { id, zone: zone.clone(), internal: unused_address() };
            nodes.push(RouterNode { node, operator: unused_address(), caller: unused_address() });
        }
        let peers: Vec<NodeAddress> = nodes.iter().map(|router| router.node.clone()).collect();
        for node in nodes {
            let is_last_zone = zone_names.last() == Some(&node.node.zone);
            let known = if is_last_zone { &far_control } else { &control };
            let file = write_router(&self.folder, &node, known, &peers)?;
            let name = format!("router-{}", node.node.id);
            let process = start_daemon(binaries, &self.folder, "router", name, &file)?;
            self.routers.push(Router { node, process });
        }
        Ok(())
    }

    async fn wait_for_back_ends(&self) -> Result<(), FleetError> {
        for back_end in &self.back_ends {
            self.operator.wait_for(back_end.entry.address, "/healthz").await?;
        }
        Ok(())
    }

    /// Waits until all routers are ready with the latest settings.
    ///
    /// # Errors
    /// Fails when a router isn't ready in time.
    pub async fn wait_until_ready(&self) -> Result<(), FleetError> {
        for router in &self.routers {
            self.operator.wait_for(router.node.operator, "/readyz").await?;
        }
        let addresses = self.router_operators();
        self.operator.wait_for_revision(&addresses, self.revision).await
    }

    /// Submits edits as one change and returns the new revision.
    ///
    /// # Errors
    /// Fails when the change is refused or not accepted in time.
    async fn change(
        &mut self,
        name: &str,
        edits: Vec<juniper_settings::Edit>,
    ) -> Result<u64, FleetError> {
        let text = format!("{name}-{}", self.revision);
        let change_id = ChangeId::new(text).map_err(|_| FleetError::NoSuch(name.to_owned()))?;
        let change = SettingsChange { base_revision: self.revision, change_id, edits };
        let addresses: Vec<SocketAddr> = self.control.iter().map(|c| c.node.operator).collect();
        self.revision = self.operator.apply(&addresses, &change).await?;
        Ok(self.revision)
    }

    /// Returns the routers' caller addresses and zones.
    pub fn router_targets(&self) -> Vec<RouterTarget> {
        let target = |router: &Router| RouterTarget {
            zone: Some(router.node.node.zone.clone()),
            address: router.node.caller,
        };
        self.routers.iter().map(target).collect()
    }

    /// Returns the operators' addresses of the routers.
    pub fn router_operators(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.node.operator).collect()
    }

    /// Returns the execution journals of the application servers.
    pub fn execution_sources(&self) -> Vec<ExecutionSource> {
        let journals = self.back_ends.iter().filter_map(|back_end| back_end.journal.clone());
        journals.map(ExecutionSource::Journal).collect()
    }

    /// Partitions the last zone from the others or restores the links.
    pub fn set_last_zone(&self, state: LinkState) {
        self.links.iter().for_each(|link| link.set(state));
    }

    /// Returns the folder with the settings files, logs and data of the fleet.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

fn start_control(
    binaries: &Binaries,
    folder: &Path,
    count: usize,
    zones: &[ZoneName],
) -> Result<Vec<Control>, FleetError> {
    let mut nodes = Vec::new();
    for (id, zone) in (FIRST_CONTROL..).zip(zones.iter().cycle()).take(count) {
        let node = NodeAddress { id, zone: zone.clone(), internal: unused_address() };
        nodes.push(ControlNode { node, operator: unused_address() });
    }
    let group: Vec<NodeAddress> = nodes.iter().map(|control| control.node.clone()).collect();
    let start = |node: ControlNode| {
        let file = write_control(folder, &node, &group)?;
        if node.node.id == FIRST_CONTROL {
            create_cluster(binaries, &file)?;
        }
        let name = format!("control-{}", node.node.id);
        let process = start_daemon(binaries, folder, "control", name, &file)?;
        Ok(Control { node, process })
    };
    nodes.into_iter().map(start).collect()
}

/// Creates a new cluster on the replica whose settings are in `file`.
fn create_cluster(binaries: &Binaries, file: &Path) -> Result<(), FleetError> {
    let (program, arguments) = binaries.daemon_command();
    let mut command = Command::new(program);
    let output = command.args(arguments).args(["found", "--settings"]).arg(file).output();
    let name = "found".to_owned();
    match output {
        Ok(output) if output.status.success() => Ok(()),
        Ok(output) => {
            let message = String::from_utf8_lossy(&output.stderr).into_owned();
            Err(FleetError::Failed { name, message })
        }
        Err(source) => Err(FleetError::Start { name, source }),
    }
}

fn start_daemon(
    binaries: &Binaries,
    folder: &Path,
    command: &str,
    name: String,
    file: &Path,
) -> Result<ManagedProcess, FleetError> {
    let log = folder.join(format!("{name}.log"));
    let (program, mut arguments) = binaries.daemon_command();
    arguments.extend([command.into(), "--settings".into(), file.into()]);
    ManagedProcess::start(name, program, arguments, log)
}
