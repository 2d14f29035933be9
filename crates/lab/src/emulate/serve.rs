//! HTTP server of an emulator process.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use axum::Router;
use juniper_emulators::http::crash_injection;

/// Reason why an emulator failed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ServeError {
    /// The runtime can't be started.
    #[error("the runtime can't be started")]
    Runtime(#[source] std::io::Error),
    /// The server can't listen on the address.
    #[error("can't listen on {address}")]
    Listen {
        /// Listen address.
        address: SocketAddr,
        /// Operating system error.
        #[source]
        source: std::io::Error,
    },
    /// The journal can't be read or opened.
    #[error("the journal can't be read or opened")]
    Journal(#[source] std::io::Error),
    /// The server failed.
    #[error("the server failed")]
    Serve(#[source] std::io::Error),
}

/// Exit status of an emulator that exits on a request.
const EXIT_ON_REQUEST_STATUS: i32 = 70;

/// Makes the process exit on a request to `routes` that contains `text`, if any.
pub fn ending_on(routes: Router, text: Option<String>) -> Router {
    let Some(text) = text else { return routes };
    let end = || {
        log::warn!("event=ended_by_a_request");
        std::process::exit(EXIT_ON_REQUEST_STATUS);
    };
    crash_injection::crash_on_trigger(routes, text, Arc::new(end))
}

/// Serves the routes that `routes` creates within the runtime on `address`, and prints
/// the bound address on standard output.
///
/// # Errors
/// Fails when the server can't listen on the address.
pub fn serve(address: SocketAddr, routes: impl FnOnce() -> Router) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build()
        .map_err(ServeError::Runtime)?;
    runtime.block_on(async { serve_on(address, routes()).await })?;
    Ok(ExitCode::SUCCESS)
}

async fn serve_on(address: SocketAddr, routes: Router) -> Result<(), ServeError> {
    let listen_fault = |source| ServeError::Listen { address, source };
    let listener = tokio::net::TcpListener::bind(address).await.map_err(listen_fault)?;
    let local = listener.local_addr().map_err(listen_fault)?;
    let mut output = std::io::stdout();
    let announced = writeln!(output, "listening={local}").and_then(|()| output.flush());
    announced.map_err(ServeError::Serve)?;
    axum::serve(listener, routes).await.map_err(ServeError::Serve)
}
