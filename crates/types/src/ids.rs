//! Names and numbers that identify the parts of a deployment.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text has no characters.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The text holds a character outside `a-z 0-9 - _ .`.
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
            /// Checks `text` and makes a name of it.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                check_name(text.as_ref())?;
                Ok(Self(Arc::from(text.as_ref())))
            }

            /// The name as text.
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
    /// A zone: machines that share their fate and a short network path.
    ZoneName
);
impl ZoneName {
    /// Stands for a zone that isn't known.
    pub fn unknown() -> Self {
        Self(Arc::from("unknown"))
    }
}

name_type!(
    /// A tenant: one company whose traffic and cache entries are kept apart.
    TenantName
);
name_type!(
    /// A service of a tenant, such as `screening` or `cue-matcher`.
    ServiceName
);
name_type!(
    /// A base model served by engines.
    ModelName
);
name_type!(
    /// An adapter loaded beside a base model.
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
    /// A daemon of the system: a control replica or a router.
    NodeId, "node-", u64
);
number_type!(
    /// A back end: a model engine, an application server or a preview server.
    EngineId, "engine-", u32
);
number_type!(
    /// One life of an engine process; a restarted engine draws a new one.
    Incarnation, "", u64
);
number_type!(
    /// A version of a model's weights. Cached blocks never match across versions.
    WeightsVersion, "v", u32
);
number_type!(
    /// The position of an accepted settings change; it only grows.
    Revision, "", u64
);

/// Bits of a socket address in a node number: 32 of the IPv4 address, 16 of the port.
const ADDRESS_BITS: u32 = 48;

/// Where nodes find each other without a list, the number of a node is the
/// address at which other daemons reach it.
impl NodeId {
    /// The number of the node at `address`.
    pub fn of_address(address: SocketAddrV4) -> Self {
        NodeId(u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port()))
    }

    /// The address that the number stands for, unless it can't be one.
    pub fn address(self) -> Option<SocketAddrV4> {
        let ip = u32::try_from(self.0 >> 16).ok().filter(|ip| *ip != 0)?;
        let port = u16::try_from(self.0 & 0xffff).ok().filter(|port| *port != 0)?;
        (self.0 >> ADDRESS_BITS == 0).then(|| SocketAddrV4::new(Ipv4Addr::from(ip), port))
    }
}

/// Identifies one caller request across routers and engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Why a text is not a request id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request id has 1 to 32 hexadecimal digits")]
pub struct RequestIdError;

impl std::str::FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, RequestIdError> {
        u128::from_str_radix(text, 16).map(RequestId).map_err(|_| RequestIdError)
    }
}

/// Longest accepted change id, in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 64;

/// Why a text is not a change id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change id has 1 to {MAX_CHANGE_ID_BYTES} visible ASCII characters")]
pub struct ChangeIdError;

/// Chosen by the writer of a settings change; a resent change keeps its id and
/// therefore gets the first answer again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(String);

impl ChangeId {
    /// Checks `text` and makes a change id of it.
    pub fn new(text: impl Into<String>) -> Result<Self, ChangeIdError> {
        let text = text.into();
        let in_bounds = (1..=MAX_CHANGE_ID_BYTES).contains(&text.len());
        if in_bounds && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self(text))
        } else {
            Err(ChangeIdError)
        }
    }

    /// The id as text.
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
