//! Errors and value parsing for the lab's command line.

/// Invalid command line.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ArgumentError {
    /// The command doesn't exist.
    #[error("unknown command {0:?}")]
    #[diagnostic(help("'juniper-lab --help' lists the commands"))]
    UnknownCommand(String),
    /// The option doesn't exist.
    #[error("unknown option --{0}")]
    UnknownOption(String),
    /// The arguments can't be parsed.
    #[error(transparent)]
    Parse(#[from] lexopt::Error),
    /// A required option is missing.
    #[error("option {0} is required")]
    Missing(&'static str),
    /// The value of an option isn't allowed.
    #[error("option {option}: {value:?} is not {allowed}")]
    Value {
        /// Name of the option.
        option: &'static str,
        /// Given value.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// The value of an option is not a valid name.
    #[error(transparent)]
    Name(#[from] juniper_types::NameError),
    /// The command is not part of this build yet.
    #[error("the command {0} is not available in this build")]
    Unavailable(&'static str),
}

/// Parses the value that follows `option` as a `T`.
///
/// # Errors
/// Fails when the value is missing or can't be parsed; `allowed` describes the allowed values.
pub fn parsed<T: std::str::FromStr>(
    parser: &mut lexopt::Parser,
    option: &'static str,
    allowed: &'static str,
) -> Result<T, ArgumentError> {
    let value = parser.value()?.to_string_lossy().into_owned();
    value.parse().map_err(|_| ArgumentError::Value { option, value, allowed })
}
