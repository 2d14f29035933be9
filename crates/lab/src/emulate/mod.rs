//! `juniper-lab emulate`: runs emulated back ends as processes.
//!
//! Emulators print `listening=ADDRESS` once they serve, so that a parent process that
//! passes port 0 learns the port.

mod engine;
mod serve;
mod servers;

use std::process::ExitCode;

use crate::arguments::ArgumentError;

const HELP: &str = "\
Usage: juniper-lab emulate KIND --listen ADDRESS [OPTIONS]

Kinds:
  engine       a model engine
  application  a server of calls that run at most once, and of listings
  preview      a server of preview streams
  store        a store of kept KV cache
  platform     the platform's lagging list of machines
  weights      a rate-limited store of weights

Options of every kind:
  --listen ADDRESS    where to serve; port 0 picks a free one  [required]

Option of engine, application and preview:
  --ends-on TEXT      a request with this text in its path or body ends the
                      process; with '-late' behind it, 0.1 s later

Options of engine:
  --zone NAME         zone it stands in  [default: local]
  --model NAME        model served  [default: base]
  --weights N         version of the weights  [default: 1]
  --software NAME     software version stated; none if empty  [default: v1]
  --adapter NAME      adapter loaded at start; may be repeated
  --cache-blocks N    memory for keys and values, in blocks  [default: 1024]
  --prefill-us N      time to prefill one token, in microseconds  [default: 267]
  --event-loss SHARE  share of cache events that are lost  [default: 0.005]
  --seed N            seed of lateness and loss of events  [default: 1]
  --weight-store ADDRESS  where ordered weights are fetched from

Options of application:
  --journal FILE      record of executions that outlives a kill
  --work-ms N         time that one call takes  [default: 30]

Options of preview:
  --piece-ms N        time between pieces of 8 KiB  [default: 10]

Options of store:
  --blocks N          blocks that it holds  [default: 65536]

Options of platform:
  --lag-ms N          how far the list lags behind  [default: 5000]

Options of weights:
  --full-rate-loads N  loads at once before they slow down  [default: 3]
  --bytes-per-second N rate of one load  [default: 2000000000]

Prints 'listening=ADDRESS' on standard output once it serves.
";

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are invalid or the emulator fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    use lexopt::Arg;
    let kind = match parser.next().map_err(ArgumentError::from)? {
        Some(Arg::Value(kind)) => kind.to_string_lossy().into_owned(),
        Some(Arg::Long("help") | Arg::Short('h')) => {
            print!("{HELP}");
            return Ok(ExitCode::SUCCESS);
        }
        _ => return Err(ArgumentError::Missing("KIND").into()),
    };
    match kind.as_str() {
        "engine" => engine::run(parser),
        "application" => servers::application(parser),
        "preview" => servers::preview(parser),
        "store" => servers::store(parser),
        "platform" => servers::platform(parser),
        "weights" => servers::weights(parser),
        _ => Err(ArgumentError::Value { option: "KIND", value: kind, allowed: "a kind" }.into()),
    }
}
