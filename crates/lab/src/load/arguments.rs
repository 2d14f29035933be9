//! The options that `load` and `replay` share.

use juniper_types::WeightsVersion;

use super::client::RetryPolicy;
use super::executions::ExecutionSource;
use super::runner::LoadOptions;
use crate::arguments::{ArgumentError, parsed};

/// Prefix of the API keys that the lab assigns to tenants; the tenant's name follows.
pub const KEY_PREFIX: &str = "lab-key-of-";

/// Help text of the shared options.
pub const SHARED_HELP: &str = "\
  --router [ZONE=]ADDRESS  caller address of a router; may be repeated  [required]
  --key-prefix TEXT        prefix of API keys, before the tenant's name  [default: lab-key-of-]
  --weights N              weights version whose answers are accepted;
                           may be repeated  [default: 1]
  --application ADDRESS    application server whose execution record is checked;
                           may be repeated
  --journal FILE           journal of an application server to check; may be repeated
  --speed FACTOR           speed-up factor of the trace  [default: 1]
  --patience-ms N          time after which a caller gives up  [default: 60000]
  --stall-ms N             time without a byte before a retry at another router  [default: 20000]
  --refusals N             refusals with Retry-After that a caller obeys  [default: 1]
";

/// Default options.
pub fn default_options() -> LoadOptions {
    LoadOptions {
        routers: Vec::new(),
        key_prefix: KEY_PREFIX.to_owned(),
        retry_policy: RetryPolicy::default(),
        weights: Vec::new(),
        executions: Vec::new(),
        speed: 1.0,
    }
}

/// Reads the option `name` into `options`; returns false if it isn't a shared option.
///
/// # Errors
/// Fails when the value is invalid.
pub fn read_shared(
    parser: &mut lexopt::Parser,
    name: &str,
    options: &mut LoadOptions,
) -> Result<bool, ArgumentError> {
    match name {
        "router" => {
            options.routers.push(parsed(parser, "--router", "ADDRESS or ZONE=ADDRESS")?);
        }
        "key-prefix" => options.key_prefix = parser.value()?.to_string_lossy().into_owned(),
        "weights" => {
            options.weights.push(WeightsVersion(parsed(parser, "--weights", "a number")?));
        }
        "application" => {
            let address = parsed(parser, "--application", "an address")?;
            options.executions.push(ExecutionSource::Server(address));
        }
        "journal" => options.executions.push(ExecutionSource::Journal(parser.value()?.into())),
        "speed" => options.speed = read_speed(parser)?,
        "patience-ms" => options.retry_policy.total = read_millis(parser, "--patience-ms")?,
        "stall-ms" => options.retry_policy.stall = read_millis(parser, "--stall-ms")?,
        "refusals" => options.retry_policy.refusals = parsed(parser, "--refusals", "a number")?,
        _ => return Ok(false),
    }
    Ok(true)
}

/// Fills in defaults and checks that at least one router is given.
///
/// # Errors
/// Fails when no router was given.
pub fn complete(mut options: LoadOptions) -> Result<LoadOptions, ArgumentError> {
    if options.routers.is_empty() {
        return Err(ArgumentError::Missing("--router"));
    }
    if options.weights.is_empty() {
        options.weights.push(WeightsVersion(1));
    }
    Ok(options)
}

fn read_millis(
    parser: &mut lexopt::Parser,
    option: &'static str,
) -> Result<std::time::Duration, ArgumentError> {
    let millis = parsed(parser, option, "a number of milliseconds")?;
    Ok(std::time::Duration::from_millis(millis))
}

fn read_speed(parser: &mut lexopt::Parser) -> Result<f64, ArgumentError> {
    let allowed = "a factor above 0";
    let speed: f64 = parsed(parser, "--speed", allowed)?;
    if speed.is_finite() && speed > 0.0 {
        return Ok(speed);
    }
    Err(ArgumentError::Value { option: "--speed", value: speed.to_string(), allowed })
}
