//! Identities of servers and of their incarnations.

use std::fmt;
use std::sync::Arc;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};

/// Name that a server registers under and keeps when it restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceName(Arc<str>);

impl InstanceName {
    /// Creates a name from its text.
    pub fn new(text: impl AsRef<str>) -> Self {
        InstanceName(Arc::from(text.as_ref()))
    }

    /// Name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for InstanceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl<C> Encode<C> for InstanceName {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.str(&self.0)?;
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for InstanceName {
    fn decode(decoder: &mut Decoder<'b>, _context: &mut C) -> Result<Self, DecodeError> {
        Ok(InstanceName::new(decoder.str()?))
    }
}

/// Start time of an incarnation, in milliseconds since the Unix epoch by the server's clock.
///
/// Unknown for servers and builds that don't report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct StartTime(#[n(0)] u64);

impl StartTime {
    /// Start time that was not reported.
    pub const UNKNOWN: StartTime = StartTime(0);

    /// Creates a start time from milliseconds since the Unix epoch.
    pub const fn from_unix_ms(milliseconds: u64) -> Self {
        StartTime(milliseconds)
    }

    /// Milliseconds since the Unix epoch; zero if unknown.
    pub const fn unix_ms(self) -> u64 {
        self.0
    }

    /// Whether the start time was reported.
    pub const fn is_known(self) -> bool {
        self.0 != 0
    }
}

/// One incarnation of a server.
///
/// Not encoded as a whole: messages and records have the name where earlier builds expect it, and
/// the start time in a separate field that those builds skip.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    name: InstanceName,
    started: StartTime,
}

impl InstanceId {
    /// Incarnation with an unknown start time.
    pub fn new(name: impl AsRef<str>) -> Self {
        InstanceId::started_at(InstanceName::new(name), StartTime::UNKNOWN)
    }

    /// Incarnation that started at the given time.
    pub fn started_at(name: InstanceName, started: StartTime) -> Self {
        InstanceId { name, started }
    }

    /// Name of the server.
    pub fn name(&self) -> &InstanceName {
        &self.name
    }

    /// Start time of the incarnation.
    pub fn started(&self) -> StartTime {
        self.started
    }

    /// Name of the server as text.
    pub fn as_str(&self) -> &str {
        self.name.as_str()
    }

    /// Whether both may be the same incarnation. An unknown start time, as in messages of earlier
    /// builds, matches any other.
    pub fn is_same(&self, other: &InstanceId) -> bool {
        let is_known = self.started.is_known() && other.started.is_known();
        self.name == other.name && (!is_known || self.started == other.started)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.name.fmt(formatter)
    }
}

/// Joins the names and start times of a message to incarnations. Earlier builds send no start
/// times; missing ones are unknown.
pub fn join_incarnations(names: Vec<InstanceName>, starts: &[StartTime]) -> Vec<InstanceId> {
    let starts = starts.iter().copied().chain(std::iter::repeat(StartTime::UNKNOWN));
    names.into_iter().zip(starts).map(|(name, start)| InstanceId::started_at(name, start)).collect()
}

/// Splits incarnations into the names and start times of a message.
pub fn split_incarnations<'a>(
    instances: impl IntoIterator<Item = &'a InstanceId>,
) -> (Vec<InstanceName>, Vec<StartTime>) {
    instances.into_iter().map(|id| (id.name.clone(), id.started)).unzip()
}
