//! What a server says of itself.

use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};

/// One life of a server. A restarted server has another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(Arc<str>);

impl InstanceId {
    /// Wraps the text that the server calls itself by.
    pub fn new(text: impl AsRef<str>) -> Self {
        InstanceId(Arc::from(text.as_ref()))
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl<C> Encode<C> for InstanceId {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.str(&self.0)?;
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for InstanceId {
    fn decode(decoder: &mut Decoder<'b>, _context: &mut C) -> Result<Self, DecodeError> {
        Ok(InstanceId::new(decoder.str()?))
    }
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum InstanceState {
    /// It does.
    #[n(0)]
    Ready,
    /// It is leaving.
    #[n(1)]
    Draining,
}

/// A model that a server holds.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ModelHolding {
    /// Name of the model.
    #[n(0)]
    pub model: String,
    /// Version of its weights.
    #[n(1)]
    pub version: u64,
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceReport {
    /// Which life of which server.
    #[n(0)]
    pub id: InstanceId,
    /// The service that it belongs to.
    #[n(1)]
    pub service: String,
    /// Where it takes requests.
    #[cbor(n(2), with = "juniper_catalog::address")]
    pub address: SocketAddrV4,
    /// Its zone.
    #[n(3)]
    pub zone: String,
    /// Requests that it works on at once.
    #[n(4)]
    pub slots: u32,
    /// Whether it takes new work.
    #[n(5)]
    pub state: InstanceState,
    /// Time for which it is still slow after its start, in milliseconds.
    #[n(6)]
    pub cold_remaining_ms: u64,
    /// Models that it holds.
    #[n(7)]
    pub models: Vec<ModelHolding>,
    /// Grows with each heartbeat of this life.
    #[n(8)]
    pub sequence: u64,
}

impl InstanceReport {
    /// Whether another report of the same life says the same, its number and the
    /// progress of its start left out.
    pub fn says_the_same(&self, other: &InstanceReport) -> bool {
        let is_cold = |report: &InstanceReport| report.cold_remaining_ms > 0;
        self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.slots == other.slots
            && self.state == other.state
            && self.models == other.models
            && is_cold(self) == is_cold(other)
    }

    /// The version of `model` that the server holds, if it holds the model.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let held = self.models.iter().find(|held| held.model == model);
        held.map(|held| held.version)
    }
}
