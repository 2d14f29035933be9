//! Confirmation by a quorum that the view of this node was complete.

use std::fmt;

use juniper_clock::BootInstant;
use juniper_types::NodeId;

/// Confirmation that the view included every change that was acknowledged up to some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Time as of which the view was complete.
    pub at: BootInstant,
    /// Replica that a quorum had confirmed.
    pub replica: NodeId,
}

/// Fields for a log line about a view with this confirmation, if it has one.
pub struct ConfirmationFields(pub Option<Confirmation>);

impl fmt::Display for ConfirmationFields {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(Confirmation { at, replica }) => {
                write!(formatter, "age_ms={} confirmed_by={replica}", at.elapsed().as_millis())
            }
            None => formatter.write_str("age_ms=-1 confirmed_by=-"),
        }
    }
}
