//! Gateway in a runtime of its own, which is killed and frozen as a process would be.

use std::sync::Mutex;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

use super::TestGateway;

/// A gateway with its control replica, in a runtime of its own.
pub struct RouterProcess {
    pub gateway: TestGateway,
    runtime: Option<Runtime>,
    stop: Mutex<Option<oneshot::Sender<()>>>,
}

impl RouterProcess {
    /// Starts a gateway without servers.
    pub async fn start() -> Self {
        Self::start_gateway(TestGateway::start(&[])).await
    }

    /// Starts a gateway in a runtime of its own.
    pub async fn start_gateway(
        starting: impl Future<Output = TestGateway> + Send + 'static,
    ) -> Self {
        // A single worker, which a frozen router blocks.
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let mut gateway = runtime.spawn(starting).await.expect("started");
        let stop = Mutex::new(gateway.stop.take());
        RouterProcess { gateway, runtime: Some(runtime), stop }
    }

    /// Starts a planned shutdown.
    pub fn stop(&self) {
        if let Some(stop) = self.stop.lock().expect("not poisoned").take() {
            let _ = stop.send(());
        }
    }

    /// Stops all work of the router for `time`.
    pub fn freeze(&self, time: Duration) {
        let runtime = self.runtime.as_ref().expect("until dropped");
        runtime.spawn(async move { std::thread::sleep(time) });
    }
}

/// Kills the router: all its connections are closed.
impl Drop for RouterProcess {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
