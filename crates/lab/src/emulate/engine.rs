//! `juniper-lab emulate engine`.

use std::net::SocketAddr;
use std::process::ExitCode;

use juniper_emulators::http::engine::{EngineOptions, router};
use juniper_types::{Incarnation, ModelName, WeightsVersion, ZoneName};
use lexopt::Arg;

use super::serve::serve;
use crate::arguments::{ArgumentError, parsed};

/// Runs an engine emulator until the process is ended.
///
/// # Errors
/// Fails when the arguments are faulty or the address can't be served.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let mut listen: Option<SocketAddr> = None;
    let mut zone: Option<ZoneName> = None;
    let mut model: Option<ModelName> = None;
    let mut weights = WeightsVersion(1);
    while let Some(argument) = parser.next().map_err(ArgumentError::from)? {
        match argument {
            Arg::Long("listen") => listen = Some(parsed(parser, "--listen", "an address")?),
            Arg::Long("zone") => zone = Some(parsed(parser, "--zone", "a name")?),
            Arg::Long("model") => model = Some(parsed(parser, "--model", "a name")?),
            Arg::Long("weights") => {
                weights = WeightsVersion(parsed(parser, "--weights", "a number")?)
            }
            other => return Err(ArgumentError::from(other.unexpected()).into()),
        }
    }
    let listen = listen.ok_or(ArgumentError::Missing("--listen"))?;
    let model = match model {
        Some(model) => model,
        None => ModelName::new("base").map_err(ArgumentError::from)?,
    };
    log::info!("event=start kind=engine zone={}", zone.as_ref().map_or("local", |z| z.as_str()));
    let options = EngineOptions { model, weights, incarnation: Incarnation(rand::random()) };
    serve(listen, router(options))
}
