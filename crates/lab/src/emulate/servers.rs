//! Emulators of application and preview servers, stores and the platform's host list.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use juniper_emulators::application::Executions;
use juniper_emulators::kv_store::STORE_BLOCKS;
use juniper_emulators::platform::LIST_LAG;
use juniper_emulators::weights::{FULL_RATE_LOADS, LOAD_BYTES_PER_SECOND, WeightStore};
use juniper_emulators::{http, http::application::WORK_TIME, http::preview::CHUNK_INTERVAL};
use lexopt::Arg;

use super::serve::{ServeError, ending_on, serve};
use crate::arguments::{ArgumentError, parsed};

/// Parses the options of an emulator, including the common `--listen`.
fn read_options(
    parser: &mut lexopt::Parser,
    mut read: impl FnMut(&mut lexopt::Parser, &str) -> Result<bool, ArgumentError>,
) -> Result<SocketAddr, ArgumentError> {
    let mut listen = None;
    while let Some(argument) = parser.next()? {
        let name = match &argument {
            Arg::Long(name) => (*name).to_owned(),
            _ => return Err(argument.unexpected().into()),
        };
        if name == "listen" {
            listen = Some(parsed(parser, "--listen", "an address")?);
        } else if !read(parser, &name)? {
            return Err(ArgumentError::UnknownOption(name));
        }
    }
    listen.ok_or(ArgumentError::Missing("--listen"))
}

fn read_millis(
    parser: &mut lexopt::Parser,
    option: &'static str,
) -> Result<Duration, ArgumentError> {
    Ok(Duration::from_millis(parsed(parser, option, "a number of milliseconds")?))
}

/// Runs `juniper-lab emulate application`.
///
/// # Errors
/// Fails when the arguments are invalid, the journal can't be read or opened, or the
/// server can't listen on the address.
pub fn application(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let mut journal: Option<PathBuf> = None;
    let mut work = WORK_TIME;
    let mut ends_on = None;
    let listen = read_options(parser, |parser, name| {
        match name {
            "journal" => journal = Some(parser.value()?.into()),
            "ends-on" => ends_on = Some(parsed(parser, "--ends-on", "a text")?),
            "work-ms" => work = read_millis(parser, "--work-ms")?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    let executions = match &journal {
        Some(path) => Executions::open(path).map_err(ServeError::Journal)?,
        None => Executions::default(),
    };
    serve(listen, || ending_on(http::application::router(executions, work), ends_on))
}

/// Runs `juniper-lab emulate preview`.
///
/// # Errors
/// Fails when the arguments are invalid or the server can't listen on the address.
pub fn preview(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let mut interval = CHUNK_INTERVAL;
    let mut ends_on = None;
    let listen = read_options(parser, |parser, name| {
        match name {
            "ends-on" => ends_on = Some(parsed(parser, "--ends-on", "a text")?),
            "piece-ms" => interval = read_millis(parser, "--piece-ms")?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    serve(listen, || ending_on(http::preview::router(interval), ends_on))
}

/// Runs `juniper-lab emulate store`.
///
/// # Errors
/// Fails when the arguments are invalid or the server can't listen on the address.
pub fn store(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let mut blocks = STORE_BLOCKS;
    let listen = read_options(parser, |parser, name| {
        if name == "blocks" {
            blocks = parsed(parser, "--blocks", "a number")?;
        }
        Ok(name == "blocks")
    })?;
    serve(listen, || http::kv_store::router(blocks))
}

/// Runs `juniper-lab emulate platform`.
///
/// # Errors
/// Fails when the arguments are invalid or the server can't listen on the address.
pub fn platform(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let mut lag = LIST_LAG;
    let listen = read_options(parser, |parser, name| {
        if name == "lag-ms" {
            lag = read_millis(parser, "--lag-ms")?;
        }
        Ok(name == "lag-ms")
    })?;
    serve(listen, || http::platform::router(lag))
}

/// Runs `juniper-lab emulate weights`.
///
/// # Errors
/// Fails when the arguments are invalid or the server can't listen on the address.
pub fn weights(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let mut rate = LOAD_BYTES_PER_SECOND;
    let mut loads = FULL_RATE_LOADS;
    let listen = read_options(parser, |parser, name| {
        match name {
            "bytes-per-second" => rate = parsed(parser, "--bytes-per-second", "a number")?,
            "full-rate-loads" => loads = parsed(parser, "--full-rate-loads", "a number")?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    serve(listen, || http::weights::router(WeightStore::new(rate, loads)))
}
