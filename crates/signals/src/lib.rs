//! The signals that stop a daemon.

use tokio::signal::unix::{SignalKind, signal};

/// Completes on SIGTERM or SIGINT. A process whose signals can't be handled logs so
/// and goes on.
pub async fn stopped() {
    if let Err(error) = stop_signal().await {
        log::error!("event=signal_handler_failed reason=\"{error}\"");
        std::future::pending::<()>().await;
    }
}

async fn stop_signal() -> Result<(), std::io::Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
