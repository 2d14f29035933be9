//! Faults in the command line, and reading it word by word.

use lexopt::Arg;

use crate::commands::nearest;

/// A command line that can't be carried out.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ArgumentError {
    /// No such command.
    #[error("unknown command {command:?}")]
    UnknownCommand {
        /// What was given.
        command: String,
        /// What was probably meant, or how to find it.
        #[help]
        advice: String,
    },
    /// The parser refused the arguments.
    #[error(transparent)]
    Parse(#[from] lexopt::Error),
    /// Something that the command needs is absent.
    #[error("{0} is required")]
    Missing(&'static str),
    /// A value is outside what is allowed.
    #[error("{name}: {value:?} is not {allowed}")]
    Value {
        /// What the value is for.
        name: &'static str,
        /// What was given.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl ArgumentError {
    /// There is no such command.
    pub fn unknown_command(command: &str) -> Self {
        let advice = match nearest(command) {
            Some(meant) => format!("did you mean '{meant}'? '--help' lists the commands"),
            None => "'juniperhollow --help' lists the commands".to_owned(),
        };
        ArgumentError::UnknownCommand { command: command.to_owned(), advice }
    }
}

/// The next plain word; `None` at the end or for `--help`.
pub fn next_word(parser: &mut lexopt::Parser) -> Result<Option<String>, ArgumentError> {
    match parser.next()? {
        None | Some(Arg::Long("help") | Arg::Short('h')) => Ok(None),
        Some(Arg::Value(word)) => Ok(Some(word.to_string_lossy().into_owned())),
        Some(other) => Err(other.unexpected().into()),
    }
}

/// Parses `text` as a number.
pub fn number(name: &'static str, text: &str) -> Result<u64, ArgumentError> {
    text.parse().map_err(|_| ArgumentError::Value {
        name,
        value: text.to_owned(),
        allowed: "a whole number",
    })
}
