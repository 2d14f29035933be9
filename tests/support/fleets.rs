//! Starts fleets through the lab, two at a time.

use std::path::PathBuf;
use std::time::Duration;

use juniper_lab::fleet::{Binaries, Fleet, FleetOptions, FleetSizes};
use juniper_lab::trace::TraceProfile;
use tempfile::TempDir;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Fleets at once: each has some fifteen processes.
static FLEETS: Semaphore = Semaphore::const_new(2);

pub const PROFILE: TraceProfile = TraceProfile::GraniteLedger;

pub const SIZES: FleetSizes =
    FleetSizes { control: 1, routers: 3, engines: 6, applications: 3, previews: 3 };

/// A fleet that is stopped, and its folder removed, when dropped.
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

pub async fn start(setup: Setup) -> TestFleet {
    let permit = FLEETS.acquire().await.expect("never closed");
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
