//! Command-line parsing helpers and their errors.

use lexopt::Arg;

use crate::commands::closest_command;

/// Invalid command line.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ArgumentError {
    /// Unknown command.
    #[error("unknown command {command:?}")]
    UnknownCommand {
        /// Command as given.
        command: String,
        /// Closest known command, or a pointer to the help.
        #[help]
        advice: String,
    },
    /// Argument that the parser rejects.
    #[error(transparent)]
    Parse(#[from] lexopt::Error),
    /// Missing argument.
    #[error("{0} is required")]
    Missing(&'static str),
    /// Value out of the allowed range or format.
    #[error("{name}: {value:?} is not {allowed}")]
    Value {
        /// Name of the argument.
        name: &'static str,
        /// Value as given.
        value: String,
        /// Description of allowed values.
        allowed: &'static str,
    },
}

impl ArgumentError {
    /// Builds the error for an unknown command, with the closest known one as advice.
    pub fn unknown_command(command: &str) -> Self {
        let advice = match closest_command(command) {
            Some(suggestion) => format!("did you mean '{suggestion}'? '--help' lists the commands"),
            None => "'juniperhollow --help' lists the commands".to_owned(),
        };
        ArgumentError::UnknownCommand { command: command.to_owned(), advice }
    }
}

/// Returns the next positional argument, or `None` at the end or for `--help`.
pub fn next_positional(parser: &mut lexopt::Parser) -> Result<Option<String>, ArgumentError> {
    match parser.next()? {
        None | Some(Arg::Long("help") | Arg::Short('h')) => Ok(None),
        Some(Arg::Value(word)) => Ok(Some(word.to_string_lossy().into_owned())),
        Some(other) => Err(other.unexpected().into()),
    }
}

/// Parses `text` as an unsigned integer; `name` is the argument's name for the error.
pub fn number(name: &'static str, text: &str) -> Result<u64, ArgumentError> {
    text.parse().map_err(|_| ArgumentError::Value {
        name,
        value: text.to_owned(),
        allowed: "a whole number",
    })
}
