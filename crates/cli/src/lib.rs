//! Command line of `juniperhollow`: daemons and operator commands.

pub mod arguments;
pub mod check;
pub mod client;
pub mod commands;
pub mod daemon;
pub mod explain;
pub mod logging;
pub mod operator;
pub mod output;
pub mod recover;

use std::ffi::OsString;
use std::process::ExitCode;

use arguments::ArgumentError;

/// Exit code of a write that conflicts with a newer revision.
pub const EXIT_CONFLICT: u8 = 3;

/// Exit code for a file or change that fails validation.
pub const EXIT_FAULTS: u8 = 4;

/// Runs the program with the arguments of the process and returns the exit code.
pub fn main() -> ExitCode {
    run(std::env::args_os().skip(1))
}

/// Runs the program with `arguments` (without the program name) and returns the exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    if let Some(help) = requested_help(&arguments) {
        print!("{help}");
        return ExitCode::SUCCESS;
    }
    let mut parser = lexopt::Parser::from_args(arguments);
    match dispatch(&mut parser) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            if let Some(option) = suggested_option(&report) {
                eprintln!("Did you mean '{option}'?");
            }
            exit_code_of(&report)
        }
    }
}

/// Returns the help text if the arguments contain `--help` or `-h`: that of the named command,
/// or the general one.
fn requested_help(arguments: &[OsString]) -> Option<String> {
    let is_help = |argument: &OsString| argument == "--help" || argument == "-h";
    let (first_help, _) = arguments.iter().enumerate().find(|(_, given)| is_help(given))?;
    let words = arguments[..first_help].iter().map(|word| word.to_string_lossy().into_owned());
    let words: Vec<String> = words.take_while(|word| !word.starts_with('-')).collect();
    if words.is_empty() {
        return Some(commands::general_help());
    }
    if let Some(command) = commands::find_command(&words) {
        return Some(command.help());
    }
    // First word of several commands, such as `tree`.
    commands::COMMANDS
        .iter()
        .any(|command| command.words.starts_with(&format!("{} ", words[0])))
        .then(commands::general_help)
}

/// Returns the closest known option if the error is an unknown option.
fn suggested_option(report: &miette::Report) -> Option<&'static str> {
    match report.downcast_ref::<ArgumentError>()? {
        ArgumentError::Parse(lexopt::Error::UnexpectedOption(given)) => {
            commands::closest_option(given)
        }
        _ => None,
    }
}

fn exit_code_of(report: &miette::Report) -> ExitCode {
    if report.downcast_ref::<ArgumentError>().is_some() {
        return ExitCode::from(2);
    }
    match report.downcast_ref::<client::ClientError>() {
        Some(client::ClientError::ErrorResponse { status: 409, .. }) => {
            ExitCode::from(EXIT_CONFLICT)
        }
        Some(client::ClientError::ErrorResponse { status: 422, .. }) => ExitCode::from(EXIT_FAULTS),
        _ => ExitCode::FAILURE,
    }
}

fn dispatch(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let Some(command) = arguments::next_positional(parser)? else {
        print!("{}", commands::general_help());
        return Ok(ExitCode::SUCCESS);
    };
    match command.as_str() {
        "control" => daemon::control(parser),
        "router" => daemon::router(parser),
        "settings" => check::settings(parser),
        "key" => daemon::hash_key(parser),
        "tree" => operator::tree(parser),
        "found" => daemon::found(parser),
        "status" => operator::status(parser),
        "nodes" => operator::nodes(parser),
        "drain" => operator::drain(parser),
        "quarantine" => operator::quarantine(parser),
        "recover" => recover::recover(parser),
        "explain" => explain::explain(parser),
        _ => Err(ArgumentError::unknown_command(&command).into()),
    }
}
