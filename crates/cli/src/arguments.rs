//! Faults in the command line, and reading it word by word.

use lexopt::Arg;

/// A command line that can't be carried out.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ArgumentError {
    /// No such command.
    #[error("unknown command {0:?}")]
    #[diagnostic(help("'juniperhollow --help' lists the commands"))]
    UnknownCommand(String),
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
