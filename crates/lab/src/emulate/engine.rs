//! `juniper-lab emulate engine`.

use std::net::SocketAddr;
use std::process::ExitCode;

use juniper_emulators::engine::EngineConfig;
use juniper_emulators::http::engine::{EngineOptions, router};
use juniper_types::{
    AdapterName, Incarnation, ModelName, SoftwareVersion, WeightsVersion, ZoneName,
};
use lexopt::Arg;

use super::serve::{ending_on, serve};
use crate::arguments::{ArgumentError, parsed};

/// Default zone.
const DEFAULT_ZONE: &str = "local";

/// Default model.
const DEFAULT_MODEL: &str = "base";

struct Arguments {
    listen: SocketAddr,
    zone: ZoneName,
    options: EngineOptions,
    ends_on: Option<String>,
}

/// Runs an engine emulator until the process is terminated.
///
/// # Errors
/// Fails when the arguments are invalid or the server can't listen on the address.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let Arguments { listen, zone, options, ends_on } = read(parser)?;
    log::info!("event=start kind=engine zone={zone}");
    serve(listen, || ending_on(router(options), ends_on))
}

fn read(parser: &mut lexopt::Parser) -> Result<Arguments, ArgumentError> {
    let mut listen: Option<SocketAddr> = None;
    let mut zone = ZoneName::new(DEFAULT_ZONE)?;
    let mut model = ModelName::new(DEFAULT_MODEL)?;
    let mut weights = WeightsVersion(1);
    let mut weight_store = None;
    let mut ends_on = None;
    let mut config = EngineConfig::reference(model.clone(), weights, 1);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("listen") => listen = Some(parsed(parser, "--listen", "an address")?),
            Arg::Long("zone") => zone = parsed(parser, "--zone", "a name")?,
            Arg::Long("model") => model = parsed(parser, "--model", "a name")?,
            Arg::Long("weights") => {
                weights = WeightsVersion(parsed(parser, "--weights", "a number")?);
            }
            Arg::Long("software") => {
                let name: String = parsed(parser, "--software", "a name")?;
                config.software = SoftwareVersion::new(&name);
            }
            Arg::Long("adapter") => {
                config.adapters.push(parsed::<AdapterName>(parser, "--adapter", "a name")?);
            }
            Arg::Long("cache-blocks") => {
                config.cache_blocks = parsed(parser, "--cache-blocks", "a number")?;
            }
            Arg::Long("prefill-us") => {
                let micros: u32 = parsed(parser, "--prefill-us", "a number")?;
                config.prefill_token_ns = u64::from(micros) * 1_000;
            }
            Arg::Long("event-loss") => {
                config.events.loss = parsed(parser, "--event-loss", "a share")?;
            }
            Arg::Long("seed") => config.seed = parsed(parser, "--seed", "a number")?,
            Arg::Long("weight-store") => {
                weight_store = Some(parsed(parser, "--weight-store", "an address")?);
            }
            Arg::Long("ends-on") => ends_on = Some(parsed(parser, "--ends-on", "a text")?),
            other => return Err(other.unexpected().into()),
        }
    }
    config.model = Some((model, weights));
    let incarnation = Incarnation(rand::random());
    Ok(Arguments {
        listen: listen.ok_or(ArgumentError::Missing("--listen"))?,
        zone,
        options: EngineOptions { config, incarnation, weight_store },
        ends_on,
    })
}
