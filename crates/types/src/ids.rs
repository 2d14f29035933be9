//! Names and numeric ids of nodes, engines, models, tenants, requests and changes.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Error for text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// Empty text.
    #[error("a name must not be empty")]
    Empty,
    /// Text of this many bytes, longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// Text with this character, outside `a-z 0-9 - _ .`.
    #[error("a name has only the characters a-z, 0-9, '-', '_' and '.', not {0:?}")]
    Character(char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(NameError::Character(character)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates a name.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                check_name(text.as_ref())?;
                Ok(Self(Arc::from(text.as_ref())))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }

        impl<C> Encode<C> for $name {
            fn encode<W: Write>(
                &self,
                encoder: &mut Encoder<W>,
                _context: &mut C,
            ) -> Result<(), EncodeError<W::Error>> {
                encoder.str(&self.0)?;
                Ok(())
            }
        }

        impl<'b, C> Decode<'b, C> for $name {
            fn decode(decoder: &mut Decoder<'b>, _context: &mut C) -> Result<Self, DecodeError> {
                Self::new(decoder.str()?).map_err(DecodeError::custom)
            }
        }
    };
}

name_type!(
    /// Availability zone: machines that share a failure domain and a short network path.
    ZoneName
);
impl ZoneName {
    /// Returns the placeholder name of an unknown zone.
    pub fn unknown() -> Self {
        Self(Arc::from("unknown"))
    }
}

name_type!(
    /// Tenant: a customer whose traffic and cache entries are isolated from others.
    TenantName
);
name_type!(
    /// Service of a tenant, such as `screening` or `cue-matcher`.
    ServiceName
);
name_type!(
    /// Base model served by engines.
    ModelName
);
name_type!(
    /// Adapter loaded in addition to a base model.
    AdapterName
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $prefix:literal, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, Encode, Decode,
        )]
        #[serde(transparent)]
        #[cbor(transparent)]
        pub struct $name(#[n(0)] pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

number_type!(
    /// Id of a daemon: a control replica or a router.
    NodeId, "node-", u64
);
number_type!(
    /// Id of a back end: a model engine, an application server or a preview server.
    EngineId, "engine-", u32
);
number_type!(
    /// Incarnation of an engine process; each restart draws a new random number.
    Incarnation, "", u64
);
number_type!(
    /// Version of a model's weights. Cached blocks never match across versions.
    WeightsVersion, "v", u32
);
number_type!(
    /// Revision of the settings tree, incremented by each accepted change.
    Revision, "", u64
);

/// Bits of a socket address in a node id: 32 of the IPv4 address, 16 of the port.
const ADDRESS_BITS: u32 = 48;

/// Encoding of node ids as addresses, for deployments without a list of nodes: the id of a node
/// is the address at which other daemons reach it.
impl NodeId {
    /// Returns the id of the node at `address`.
    pub fn of_address(address: SocketAddrV4) -> Self {
        NodeId(u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port()))
    }

    /// Decodes the address from the id; `None` if the id is not a valid address.
    pub fn address(self) -> Option<SocketAddrV4> {
        let ip = u32::try_from(self.0 >> 16).ok().filter(|ip| *ip != 0)?;
        let port = u16::try_from(self.0 & 0xffff).ok().filter(|port| *port != 0)?;
        (self.0 >> ADDRESS_BITS == 0).then(|| SocketAddrV4::new(Ipv4Addr::from(ip), port))
    }
}

/// Id of one caller request across routers and engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Error for text that is not a request id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request id has 1 to 32 hexadecimal digits")]
pub struct RequestIdError;

impl std::str::FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, RequestIdError> {
        u128::from_str_radix(text, 16).map(RequestId).map_err(|_| RequestIdError)
    }
}

/// Maximum length of a change id, in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 64;

/// Error for text that is not a change id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change id has 1 to {MAX_CHANGE_ID_BYTES} visible ASCII characters")]
pub struct ChangeIdError;

/// Idempotency key of a settings change, chosen by its author. A retry with the same id receives
/// the answer to the first submission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(String);

impl ChangeId {
    /// Validates `text` and creates a change id.
    pub fn new(text: impl Into<String>) -> Result<Self, ChangeIdError> {
        let text = text.into();
        let has_valid_length = (1..=MAX_CHANGE_ID_BYTES).contains(&text.len());
        if has_valid_length && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self(text))
        } else {
            Err(ChangeIdError)
        }
    }

    /// Returns the id as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(text: String) -> Result<Self, ChangeIdError> {
        Self::new(text)
    }
}

impl From<ChangeId> for String {
    fn from(id: ChangeId) -> String {
        id.0
    }
}

impl<C> Encode<C> for ChangeId {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.str(&self.0)?;
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for ChangeId {
    fn decode(decoder: &mut Decoder<'b>, _context: &mut C) -> Result<Self, DecodeError> {
        Self::new(decoder.str()?).map_err(DecodeError::custom)
    }
}
