//! Path of a node in the settings tree: root, zone, tenant or service.

use std::fmt;
use std::str::FromStr;

use juniper_types::{NameError, ServiceName, TenantName, ZoneName};
use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};
use serde::{Deserialize, Serialize};

/// Name that sorts first, since `-` precedes all other characters of a name.
const LEAST_NAME: &str = "-";

/// Error when a settings path is parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// The path doesn't start with a slash.
    #[error("a settings path starts with '/'")]
    NotAbsolute,
    /// The path has more levels than root, zone, tenant and service.
    #[error("a settings path has at most three names: /zone/tenant/service")]
    TooDeep,
    /// A name in the path is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
}

/// Path in the tree, written `/`, `/zone`, `/zone/tenant` or `/zone/tenant/service`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum SettingsPath {
    /// Root, whose values all nodes inherit.
    Root,
    /// A zone.
    Zone(ZoneName),
    /// A tenant in its home zone.
    Tenant(ZoneName, TenantName),
    /// A service of a tenant.
    Service(ZoneName, TenantName, ServiceName),
}

impl SettingsPath {
    /// Path one level up, or `None` for the root.
    pub fn parent(&self) -> Option<SettingsPath> {
        match self {
            SettingsPath::Root => None,
            SettingsPath::Zone(_) => Some(SettingsPath::Root),
            SettingsPath::Tenant(zone, _) => Some(SettingsPath::Zone(zone.clone())),
            SettingsPath::Service(zone, tenant, _) => {
                Some(SettingsPath::Tenant(zone.clone(), tenant.clone()))
            }
        }
    }

    /// Lower bound of the paths of a tenant's services.
    pub(crate) fn first_service(zone: &ZoneName, tenant: &TenantName) -> SettingsPath {
        let least = ServiceName::new(LEAST_NAME).unwrap_or_else(|_| unreachable!("valid name"));
        SettingsPath::Service(zone.clone(), tenant.clone(), least)
    }

    /// Whether `self` is `ancestor` or below it.
    pub fn is_within(&self, ancestor: &SettingsPath) -> bool {
        let mut current = Some(self.clone());
        while let Some(path) = current {
            if path == *ancestor {
                return true;
            }
            current = path.parent();
        }
        false
    }
}

impl fmt::Display for SettingsPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsPath::Root => formatter.write_str("/"),
            SettingsPath::Zone(zone) => write!(formatter, "/{zone}"),
            SettingsPath::Tenant(zone, tenant) => write!(formatter, "/{zone}/{tenant}"),
            SettingsPath::Service(zone, tenant, service) => {
                write!(formatter, "/{zone}/{tenant}/{service}")
            }
        }
    }
}

impl FromStr for SettingsPath {
    type Err = PathError;

    fn from_str(text: &str) -> Result<Self, PathError> {
        let relative = text.strip_prefix('/').ok_or(PathError::NotAbsolute)?;
        if relative.is_empty() {
            return Ok(SettingsPath::Root);
        }
        let names: Vec<&str> = relative.split('/').collect();
        match names.as_slice() {
            [zone] => Ok(SettingsPath::Zone(ZoneName::new(zone)?)),
            [zone, tenant] => {
                Ok(SettingsPath::Tenant(ZoneName::new(zone)?, TenantName::new(tenant)?))
            }
            [zone, tenant, service] => Ok(SettingsPath::Service(
                ZoneName::new(zone)?,
                TenantName::new(tenant)?,
                ServiceName::new(service)?,
            )),
            _ => Err(PathError::TooDeep),
        }
    }
}

impl TryFrom<String> for SettingsPath {
    type Error = PathError;

    fn try_from(text: String) -> Result<Self, PathError> {
        text.parse()
    }
}

impl From<SettingsPath> for String {
    fn from(path: SettingsPath) -> String {
        path.to_string()
    }
}

impl<C> Encode<C> for SettingsPath {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.str(&self.to_string())?;
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for SettingsPath {
    fn decode(decoder: &mut Decoder<'b>, _context: &mut C) -> Result<Self, DecodeError> {
        decoder.str()?.parse().map_err(DecodeError::custom)
    }
}
