//! Faults in the lab's command line.

/// A command line that can't be carried out.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ArgumentError {
    /// No such command.
    #[error("unknown command {0:?}")]
    #[diagnostic(help("'juniper-lab --help' lists the commands"))]
    UnknownCommand(String),
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
    /// The command is not part of this build yet.
    #[error("the command {0} is not available in this build")]
    Unavailable(&'static str),
}
