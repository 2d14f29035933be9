//! Starts fleets through the lab, at most two at a time.

use std::path::PathBuf;
use std::time::Duration;

use juniper_lab::fleet::{Binaries, Fleet, FleetOptions, FleetSizes};
use juniper_lab::trace::TraceProfile;
use tempfile::TempDir;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Limits the fleets that run at once: each has about fifteen processes.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(2);

pub const PROFILE: TraceProfile = TraceProfile::GraniteLedger;

pub const SIZES: FleetSizes =
    FleetSizes { control: 1, routers: 3, engines: 6, applications: 3, previews: 3 };

/// A fleet that stops and removes its folder on drop.
pub struct TestFleet {
    pub fleet: Fleet,
    _folder: TempDir,
    _permit: SemaphorePermit<'static>,
}

pub struct Setup {
    pub control: usize,
    pub application_work: Duration,
    pub cuttable: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Setup { control: 1, application_work: Duration::from_millis(30), cuttable: false }
    }
}

pub async fn start_fleet(setup: Setup) -> TestFleet {
    let permit = FLEET_PERMITS.acquire().await.expect("the semaphore is never closed");
    let folder = tempfile::tempdir().expect("a folder");
    let fleet = Fleet::start(FleetOptions {
        binaries: Binaries {
            daemon: Some(PathBuf::from(env!("CARGO_BIN_EXE_juniperhollow"))),
            lab: PathBuf::from(env!("CARGO_BIN_EXE_juniper-lab")),
        },
        folder: folder.path().to_owned(),
        profile: PROFILE,
        sizes: FleetSizes { control: setup.control, ..SIZES },
        application_work: setup.application_work,
        cuttable: setup.cuttable,
    });
    let fleet = fleet.await.expect("the fleet starts");
    TestFleet { fleet, _folder: folder, _permit: permit }
}
