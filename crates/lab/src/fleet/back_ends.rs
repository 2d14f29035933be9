//! Emulated back ends of a fleet.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::Duration;

use juniper_emulators::trace::Profile;
use juniper_loopback::unused_address;
use juniper_settings::{BackEnd, BackEndKind};
use juniper_types::{EngineId, ZoneName};

use super::FleetError;
use super::binaries::Binaries;
use super::process::ManagedProcess;

/// Request text on which every emulator of a fleet exits.
pub const ENDS_BACK_ENDS: &str = "ends-back-ends";

/// Number of processes of each kind in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSizes {
    /// Control replicas: 1, 3 or 5.
    pub control: usize,
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Application servers.
    pub applications: usize,
    /// Preview servers.
    pub previews: usize,
}

/// Back end with its process.
#[derive(Debug)]
pub struct BackEndProcess {
    /// Entry in the settings tree, with the process's own address instead of a proxy's.
    pub entry: BackEnd,
    /// Zone of the back end.
    pub zone: ZoneName,
    /// Execution journal, for application servers.
    pub journal: Option<PathBuf>,
    /// Process of the emulator.
    pub process: ManagedProcess,
}

/// Parameters for starting the emulators of a fleet.
pub(super) struct BackEndPlan<'a> {
    /// Programs to run.
    pub binaries: &'a Binaries,
    /// Folder for logs and journals.
    pub folder: &'a Path,
    /// Deployment profile of the fleet.
    pub profile: Profile,
    /// Number of processes of each kind.
    pub sizes: FleetSizes,
    /// Duration of a call to an application server.
    pub application_work: Duration,
    /// Zones over which the emulators are spread evenly.
    pub zones: &'a [ZoneName],
}

impl BackEndPlan<'_> {
    /// Starts the emulators.
    ///
    /// # Errors
    /// Fails when a process can't be started.
    pub fn start(&self) -> Result<Vec<BackEndProcess>, FleetError> {
        let kinds = [
            (BackEndKind::Engine, self.sizes.engines),
            (BackEndKind::Application, self.sizes.applications),
            (BackEndKind::Preview, self.sizes.previews),
        ];
        let mut ids = 1..;
        let mut started = Vec::new();
        for (kind, count) in kinds {
            for zone in self.zones.iter().cycle().take(count) {
                let id = EngineId(ids.next().unwrap_or(u32::MAX));
                let entry = BackEnd { id, kind, address: unused_address(), leaving: false };
                started.push(self.start_one(entry, zone)?);
            }
        }
        Ok(started)
    }

    fn start_one(&self, entry: BackEnd, zone: &ZoneName) -> Result<BackEndProcess, FleetError> {
        let name = format!("{}-{}", kind_name(entry.kind), entry.id.0);
        let is_application = entry.kind == BackEndKind::Application;
        let journal = is_application.then(|| self.folder.join(format!("{name}.journal")));
        let arguments = self.arguments(&entry, zone, journal.as_deref());
        let log = self.folder.join(format!("{name}.log"));
        let process = ManagedProcess::start(name, self.binaries.lab.clone(), arguments, log)?;
        Ok(BackEndProcess { entry, zone: zone.clone(), journal, process })
    }

    fn arguments(&self, entry: &BackEnd, zone: &ZoneName, journal: Option<&Path>) -> Vec<OsString> {
        let mut arguments: Vec<OsString> = vec![
            "emulate".into(),
            kind_name(entry.kind).into(),
            "--listen".into(),
            entry.address.to_string().into(),
            "--ends-on".into(),
            ENDS_BACK_ENDS.into(),
        ];
        if entry.kind == BackEndKind::Engine {
            let blocks = self.profile.shape().cache_blocks.to_string();
            let seed = entry.id.0.to_string();
            let options = ["--zone", zone.as_str(), "--cache-blocks", &blocks, "--seed", &seed];
            arguments.extend(options.map(OsString::from));
        }
        if let Some(journal) = journal {
            let work = self.application_work.as_millis().to_string();
            arguments.extend(["--work-ms", &work, "--journal"].map(OsString::from));
            arguments.push(journal.into());
        }
        arguments
    }
}

fn kind_name(kind: BackEndKind) -> &'static str {
    match kind {
        BackEndKind::Engine => "engine",
        BackEndKind::Application => "application",
        BackEndKind::Preview => "preview",
        BackEndKind::CacheStore => "store",
    }
}
