//! Shutdown signals of daemons.

use tokio::signal::unix::{SignalKind, signal};

/// Completes on SIGTERM or SIGINT. If the signal handlers can't be installed, the error is logged
/// and the future never completes.
pub async fn shutdown_signal() {
    if let Err(error) = wait_for_signal().await {
        log::error!("event=signal_handler_failed reason=\"{error}\"");
        std::future::pending::<()>().await;
    }
}

async fn wait_for_signal() -> Result<(), std::io::Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
