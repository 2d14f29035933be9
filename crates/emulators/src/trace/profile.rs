//! Profiles of the two deployments that traces are generated for.
//!
//! Zones, engines and tenants are those of the deployments. The prefixes in use
//! exceed the cache of one engine several times and take about the cache of the
//! whole fleet, so cache hits depend on the placement of requests.

use juniper_types::{ModelName, NameError, ServiceName, TenantName, ZoneName};
use serde::{Deserialize, Serialize};

/// Deployment that a trace is generated for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Profile {
    /// A job board: recruiters screen resumes against postings.
    GraniteLedger,
    /// A music library: editors match briefs to tracks.
    Pryderi,
}

/// Error of parsing an unknown profile name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a profile is granite-ledger or pryderi, not {0:?}")]
pub struct UnknownProfile(pub String);

impl std::str::FromStr for Profile {
    type Err = UnknownProfile;

    fn from_str(text: &str) -> Result<Self, UnknownProfile> {
        match text {
            "granite-ledger" => Ok(Profile::GraniteLedger),
            "pryderi" => Ok(Profile::Pryderi),
            _ => Err(UnknownProfile(text.to_owned())),
        }
    }
}

/// Range of lengths, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lengths {
    /// Minimum length, in tokens or bytes.
    pub min: u32,
    /// Maximum length, in tokens or bytes.
    pub max: u32,
}

/// Share of each kind of request; the shares add up to one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Verdicts or cue matches: the full nested prefix and a text unique to the request.
    pub heavy_chat: f64,
    /// Tagging: the prefix without its inner level and a short text unique to the request.
    pub light_chat: f64,
    /// At-most-once requests: applications or licence checks.
    pub at_most_once: f64,
    /// Listings.
    pub listing: f64,
    /// Preview streams.
    pub preview: f64,
}

/// Parameters of the traces of a profile.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileShape {
    /// Zones of the deployment.
    pub zones: [&'static str; 3],
    /// Number of engines, spread evenly over the zones.
    pub engines: u32,
    /// Cache capacity of one engine, in blocks.
    pub cache_blocks: u32,
    /// Share of the traffic of each of the eight tenants, in descending order.
    pub tenant_weights: [f64; 8],
    /// Number of middle prefixes (employers, catalogues) of the largest tenant; scaled by weight
    /// for the others.
    pub groups: u32,
    /// Number of inner prefixes (postings, briefs) per middle prefix.
    pub leaves_per_group: u32,
    /// Length of the outer prefix: a board's or client's instructions.
    pub root_tokens: Lengths,
    /// Length of a middle prefix.
    pub group_tokens: Lengths,
    /// Length of an inner prefix.
    pub leaf_tokens: Lengths,
    /// Length of the unique text of a heavy chat: a resume or a question.
    pub heavy_tokens: Lengths,
    /// Length of the unique text of a light chat: a paragraph or the notes on a clip.
    pub light_tokens: Lengths,
    /// Output length of a heavy chat.
    pub heavy_output: Lengths,
    /// Output length of a light chat.
    pub light_output: Lengths,
    /// Shares of the kinds of requests.
    pub mix: Mix,
    /// Service for heavy chats.
    pub heavy_service: &'static str,
    /// Service for light chats.
    pub light_service: &'static str,
    /// Service for at-most-once requests.
    pub at_most_once_service: &'static str,
    /// Service for listings or previews.
    pub plain_service: &'static str,
}

/// Traffic shares of the tenants; the three largest have about two thirds.
const TENANT_WEIGHTS: [f64; 8] = [0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03];

const GRANITE_LEDGER: ProfileShape = ProfileShape {
    zones: ["hartford", "worcester", "portland"],
    engines: 18,
    cache_blocks: 384,
    tenant_weights: TENANT_WEIGHTS,
    groups: 24,
    leaves_per_group: 6,
    root_tokens: Lengths { min: 700, max: 1_000 },
    group_tokens: Lengths { min: 500, max: 1_100 },
    leaf_tokens: Lengths { min: 1_200, max: 2_600 },
    heavy_tokens: Lengths { min: 400, max: 900 },
    light_tokens: Lengths { min: 40, max: 200 },
    heavy_output: Lengths { min: 24, max: 72 },
    light_output: Lengths { min: 4, max: 12 },
    mix: Mix {
        heavy_chat: 0.42,
        light_chat: 0.28,
        at_most_once: 0.08,
        listing: 0.22,
        preview: 0.0,
    },
    heavy_service: "screening",
    light_service: "posting-tags",
    at_most_once_service: "applications",
    plain_service: "board",
};

const PRYDERI: ProfileShape = ProfileShape {
    zones: ["tywi-hall", "gwendraeth-hall", "taf-hall"],
    engines: 12,
    cache_blocks: 320,
    tenant_weights: TENANT_WEIGHTS,
    groups: 14,
    leaves_per_group: 8,
    root_tokens: Lengths { min: 300, max: 600 },
    group_tokens: Lengths { min: 1_800, max: 3_000 },
    leaf_tokens: Lengths { min: 300, max: 700 },
    heavy_tokens: Lengths { min: 60, max: 240 },
    light_tokens: Lengths { min: 40, max: 120 },
    heavy_output: Lengths { min: 16, max: 48 },
    light_output: Lengths { min: 3, max: 8 },
    mix: Mix {
        heavy_chat: 0.40,
        light_chat: 0.30,
        at_most_once: 0.06,
        listing: 0.0,
        preview: 0.24,
    },
    heavy_service: "cue-matcher",
    light_service: "clip-tags",
    at_most_once_service: "licences",
    plain_service: "previews",
};

impl Profile {
    /// Name of the profile on the command line and in files.
    pub fn as_str(self) -> &'static str {
        match self {
            Profile::GraniteLedger => "granite-ledger",
            Profile::Pryderi => "pryderi",
        }
    }

    /// Trace parameters of the profile.
    pub fn shape(self) -> &'static ProfileShape {
        match self {
            Profile::GraniteLedger => &GRANITE_LEDGER,
            Profile::Pryderi => &PRYDERI,
        }
    }

    /// Returns the validated names of the profile.
    ///
    /// # Errors
    /// Fails when a name is invalid, which the built-in names aren't.
    pub fn names(self) -> Result<ProfileNames, NameError> {
        let shape = self.shape();
        let tenants = (1..=shape.tenant_weights.len())
            .map(|number| TenantName::new(format!("tenant-{number}")))
            .collect::<Result<_, _>>()?;
        Ok(ProfileNames {
            model: ModelName::new("base")?,
            zones: shape.zones.into_iter().map(ZoneName::new).collect::<Result<_, _>>()?,
            tenants,
            heavy: ServiceName::new(shape.heavy_service)?,
            light: ServiceName::new(shape.light_service)?,
            at_most_once: ServiceName::new(shape.at_most_once_service)?,
            plain: ServiceName::new(shape.plain_service)?,
        })
    }
}

/// Validated names of a profile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProfileNames {
    /// Model that the engines serve.
    pub model: ModelName,
    /// Zones of the deployment.
    pub zones: Vec<ZoneName>,
    /// Tenants, the largest first.
    pub tenants: Vec<TenantName>,
    /// Service for heavy chats.
    pub heavy: ServiceName,
    /// Service for light chats.
    pub light: ServiceName,
    /// Service for at-most-once requests.
    pub at_most_once: ServiceName,
    /// Service for listings or previews.
    pub plain: ServiceName,
}
