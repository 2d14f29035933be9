//! Serves the routes of an emulator until the process is ended.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use axum::Router;
use juniper_emulators::http::crash_injection;

/// Why an emulator can't serve.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ServeError {
    /// The runtime can't be started.
    #[error("the runtime can't be started")]
    Runtime(#[source] std::io::Error),
    /// The address can't be listened on.
    #[error("can't listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        #[source]
        source: std::io::Error,
    },
    /// The journal can't be read or opened.
    #[error("the journal can't be read or opened")]
    Journal(#[source] std::io::Error),
    /// Serving ended with a fault.
    #[error("serving failed")]
    Serve(#[source] std::io::Error),
}

/// Exit status of an emulator that a request has ended.
const ENDED_STATUS: i32 = 70;

/// The routes of an emulator that a request with `text` in it ends, if there is a text.
pub fn ending_on(routes: Router, text: Option<String>) -> Router {
    let Some(text) = text else { return routes };
    let end = || {
        log::warn!("event=ended_by_a_request");
        std::process::exit(ENDED_STATUS);
    };
    crash_injection::crash_on_trigger(routes, text, Arc::new(end))
}

/// Serves the routes that `routes` makes within the runtime on `address`, and
/// announces the address on standard output.
///
/// # Errors
/// Fails when the address can't be listened on.
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
