//! The juniperhollow command line: daemons and operator commands.

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

/// Exit code of a write that lost against a newer revision.
pub const EXIT_CONFLICT: u8 = 3;

/// Exit code of a file or change with faults.
pub const EXIT_FAULTS: u8 = 4;

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    run(std::env::args_os().skip(1))
}

/// Runs the program with `arguments`, its own name left out, and returns its exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    if let Some(help) = help_asked_for(&arguments) {
        print!("{help}");
        return ExitCode::SUCCESS;
    }
    let mut parser = lexopt::Parser::from_args(arguments);
    match dispatch(&mut parser) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            if let Some(option) = option_meant(&report) {
                eprintln!("Did you mean '{option}'?");
            }
            exit_code_of(&report)
        }
    }
}

/// The help that the arguments ask for, if they do: that of the command they name, or the
/// general one.
fn help_asked_for(arguments: &[OsString]) -> Option<String> {
    let is_help = |argument: &OsString| argument == "--help" || argument == "-h";
    let (first_help, _) = arguments.iter().enumerate().find(|(_, given)| is_help(given))?;
    let words = arguments[..first_help].iter().map(|word| word.to_string_lossy().into_owned());
    let words: Vec<String> = words.take_while(|word| !word.starts_with('-')).collect();
    if words.is_empty() {
        return Some(commands::general_help());
    }
    if let Some(command) = commands::find(&words) {
        return Some(command.help());
    }
    // A word such as `tree`, which several commands begin with.
    commands::COMMANDS
        .iter()
        .any(|command| command.words.starts_with(&format!("{} ", words[0])))
        .then(commands::general_help)
}

/// The option that was probably meant, if the failure is that there is no such option.
fn option_meant(report: &miette::Report) -> Option<&'static str> {
    match report.downcast_ref::<ArgumentError>()? {
        ArgumentError::Parse(lexopt::Error::UnexpectedOption(given)) => {
            commands::nearest_option(given)
        }
        _ => None,
    }
}

fn exit_code_of(report: &miette::Report) -> ExitCode {
    if report.downcast_ref::<ArgumentError>().is_some() {
        return ExitCode::from(2);
    }
    match report.downcast_ref::<client::ClientError>() {
        Some(client::ClientError::Answer { status: 409, .. }) => ExitCode::from(EXIT_CONFLICT),
        Some(client::ClientError::Answer { status: 422, .. }) => ExitCode::from(EXIT_FAULTS),
        _ => ExitCode::FAILURE,
    }
}

fn dispatch(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let Some(command) = arguments::next_word(parser)? else {
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
