//! Confirmation by a quorum that the view of this node was complete.

use std::fmt;
use std::sync::Arc;

use juniper_clock::BootInstant;
use juniper_types::NodeId;

use crate::view::FleetView;

/// Confirmation that the view included every change that was acknowledged up to some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Time as of which the view was complete.
    pub at: BootInstant,
    /// Replica that a quorum had confirmed.
    pub replica: NodeId,
}

/// View of the fleet with its latest confirmation. The two are published as one value: a view that was
/// read before a confirmation may lack what was confirmed.
#[derive(Clone, Debug)]
pub struct ConfirmedView {
    /// Complete as of the confirmation, or newer.
    pub view: Arc<FleetView>,
    /// Latest confirmation of the view.
    pub confirmation: Confirmation,
}

impl PartialEq for ConfirmedView {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.view, &other.view) && self.confirmation == other.confirmation
    }
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
