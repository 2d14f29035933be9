//! Faults in the lab's command line.

/// A command line that can't be carried out.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ArgumentError {
    /// No such command.
    #[error("unknown command {0:?}")]
    #[diagnostic(help("'juniper-lab --help' lists the commands"))]
    UnknownCommand(String),
    /// No such option.
    #[error("unknown option --{0}")]
    UnknownOption(String),
    /// The parser refused the arguments.
    #[error(transparent)]
    Parse(#[from] lexopt::Error),
    /// An option that the command needs is absent.
    #[error("option {0} is required")]
    Missing(&'static str),
    /// An option's value is outside what is allowed.
    #[error("option {option}: {value:?} is not {allowed}")]
    Value {
        /// The option.
        option: &'static str,
        /// What was given.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// An option's value is not a valid name.
    #[error(transparent)]
    Name(#[from] juniper_types::NameError),
    /// The command is not part of this build yet.
    #[error("the command {0} is not available in this build")]
    Unavailable(&'static str),
}

/// The value that follows `option`, read as a `T`.
///
/// # Errors
/// Fails when there is none, or when it is not what is `allowed`.
pub fn parsed<T: std::str::FromStr>(
    parser: &mut lexopt::Parser,
    option: &'static str,
    allowed: &'static str,
) -> Result<T, ArgumentError> {
    let value = parser.value()?.to_string_lossy().into_owned();
    value.parse().map_err(|_| ArgumentError::Value { option, value, allowed })
}
