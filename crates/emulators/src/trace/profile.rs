//! The two deployments that traces are generated for, and their sizes.
//!
//! Zones, engines and tenants are the deployments' own. Segment lengths are
//! those of the texts they describe at four bytes a token. Counts of prefixes
//! are chosen so that the prompts in use need a few times the memory of one
//! engine's cache and about that of the whole fleet: then it matters where a
//! request goes.

use juniper_types::{ModelName, NameError, ServiceName, TenantName, ZoneName};
use serde::{Deserialize, Serialize};

/// A deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Profile {
    /// A job board: recruiters screen resumes against postings.
    GraniteLedger,
    /// A music library: editors match briefs to tracks.
    Pryderi,
}

/// A text names no profile.
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

/// Lengths of one level of nested prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lengths {
    /// Shortest, in tokens.
    pub min: u32,
    /// Longest, in tokens.
    pub max: u32,
}

/// Share of each kind of request; they add up to one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Verdicts or cue matches: the whole nested prefix and a text of their own.
    pub heavy_chat: f64,
    /// Tag calls: the prefix without its innermost level, and a short text.
    pub light_chat: f64,
    /// Applications or licence checks.
    pub at_most_once: f64,
    /// Listings.
    pub listing: f64,
    /// Preview streams.
    pub preview: f64,
}

/// Everything that a trace of a profile is drawn from.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileShape {
    /// The deployment's zones.
    pub zones: [&'static str; 3],
    /// Engines of the fleet, spread evenly over the zones.
    pub engines: u32,
    /// Cache of one engine, in blocks. Granite Ledger: 24,576 tokens, at some
    /// 2,000 computed tokens a second replaced in about 12 s.
    pub cache_blocks: u32,
    /// Relative traffic of the eight tenants, a few of them large.
    pub tenant_weights: [f64; 8],
    /// Middle prefixes (employers, catalogues) of the largest tenant; others have a share by weight.
    pub groups: u32,
    /// Inner prefixes (postings, briefs) under one middle prefix.
    pub leaves_per_group: u32,
    /// Outer prefix: a board's or client's instructions.
    pub root_tokens: Lengths,
    /// Middle prefix.
    pub group_tokens: Lengths,
    /// Inner prefix.
    pub leaf_tokens: Lengths,
    /// Own text of a heavy chat: a resume, or a question.
    pub heavy_tokens: Lengths,
    /// Own text of a light chat: a paragraph, or the notes on a clip.
    pub light_tokens: Lengths,
    /// Answer of a heavy chat.
    pub heavy_output: Lengths,
    /// Answer of a light chat.
    pub light_output: Lengths,
    /// Share of each kind of request.
    pub mix: Mix,
    /// Service of heavy chats.
    pub heavy_service: &'static str,
    /// Service of light chats.
    pub light_service: &'static str,
    /// Service of calls that run at most once.
    pub at_most_once_service: &'static str,
    /// Service of listings or previews.
    pub plain_service: &'static str,
}

/// Tenants' relative traffic: three large ones carry two thirds.
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
    /// The profile's name on the command line and in files.
    pub fn as_str(self) -> &'static str {
        match self {
            Profile::GraniteLedger => "granite-ledger",
            Profile::Pryderi => "pryderi",
        }
    }

    /// What traces of the profile are drawn from.
    pub fn shape(self) -> &'static ProfileShape {
        match self {
            Profile::GraniteLedger => &GRANITE_LEDGER,
            Profile::Pryderi => &PRYDERI,
        }
    }

    /// The names that a trace of the profile uses.
    ///
    /// # Errors
    /// Never, as the names are constants; the checked constructors say so in their types.
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

/// Checked names of a profile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProfileNames {
    /// Model served.
    pub model: ModelName,
    /// Zones.
    pub zones: Vec<ZoneName>,
    /// Tenants, the largest first.
    pub tenants: Vec<TenantName>,
    /// Service of heavy chats.
    pub heavy: ServiceName,
    /// Service of light chats.
    pub light: ServiceName,
    /// Service of calls that run at most once.
    pub at_most_once: ServiceName,
    /// Service of listings or previews.
    pub plain: ServiceName,
}
