//! Limits of a router that reaches no owner.
//!
//! The owner of an account may have just lost power, or the router may be cut off from all
//! replicas while other routers still reach the owner. A router then admits its share of
//! [`UNOWNED_PART`] of the limit by itself. It learns its share while it is told by the owner what
//! all routers were admitted, and keeps it while it isn't.

use std::collections::HashMap;
use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

use crate::account::{ChargeRequest, RateLimit, Verdict};
use crate::bucket::TokenBucket;
use crate::owner::{MIN_PAUSE, RECENT, per_second};
use crate::share::FleetShare;

/// Part of a limit that routers admit together while none of them reaches the owner. The rest
/// is left for the case that others do: a third of the routers, such as those of one zone, that are
/// cut off for the 4.25 s in which they honour keys add 0.6 x 4.25 / 3 = 0.85 s of the rate, a tenth
/// of what a window of 8 s with a second's burst allows.
const UNOWNED_PART: f64 = 0.6;

/// Time without an owner after which a router that decides by itself begins anew.
const SAME_ABSENCE: Duration = Duration::from_secs(2);

/// Time for which what an owner told holds; some times the half-life of recent requests.
const KNOWN_FOR: Duration = Duration::from_secs(10);

/// Accounts without requests for so long are forgotten.
const IDLE_BEFORE_FORGOTTEN: Duration = Duration::from_secs(60);

/// Accounts at whose number idle ones are looked for.
const MANY_ACCOUNTS: usize = 256;

/// A router's part of a limit while it decides by itself.
#[derive(Clone, Copy, Debug)]
struct OwnPart {
    share: FleetShare,
    bucket: TokenBucket,
    used_at: Timestamp,
}

/// What a router knows of one account.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// What was admitted here.
    admitted: Decaying,
    /// Units a second that all routers were admitted, as the owner told last.
    fleet_per_second: f64,
    own: Option<OwnPart>,
    /// When an owner last told.
    heard_at: Option<Timestamp>,
    used_at: Timestamp,
}

impl Account {
    fn new(now: Timestamp) -> Self {
        Account {
            admitted: Decaying::new(RECENT),
            fleet_per_second: 0.0,
            own: None,
            heard_at: None,
            used_at: now,
        }
    }

    /// The router's part of the limit, begun anew if an owner has decided since.
    fn own_part(&mut self, limit: RateLimit, routers: u32, now: Timestamp) -> &mut OwnPart {
        let begun = self.own.filter(|own| now.since(own.used_at) < SAME_ABSENCE);
        let own = begun.unwrap_or_else(|| {
            let here = per_second(&self.admitted, now);
            let share = FleetShare::by_demand(routers, here, self.fleet_per_second);
            let level = self.spare_part(limit) * part_of(limit, share).burst;
            let bucket = TokenBucket::at_level(level, part_of(limit, share), now);
            OwnPart { share, bucket, used_at: now }
        });
        self.own.insert(OwnPart { used_at: now, ..own })
    }

    /// Part of the limit that wasn't used when the owner was last heard.
    fn spare_part(&self, limit: RateLimit) -> f64 {
        match limit.per_second > 0.0 {
            true => (1.0 - self.fleet_per_second / limit.per_second).clamp(0.0, 1.0),
            false => 0.0,
        }
    }
}

/// One router's part of the limit.
fn part_of(limit: RateLimit, share: FleetShare) -> RateLimit {
    RateLimit {
        per_second: share.of_rate(limit.per_second) * UNOWNED_PART,
        burst: share.of_rate(limit.burst) * UNOWNED_PART,
    }
}

/// What a router needs to decide by itself.
#[derive(Clone, Debug, Default)]
pub struct LocalLimits {
    accounts: HashMap<String, Account>,
}

impl LocalLimits {
    /// Notes what the owner has decided.
    pub fn heard(&mut self, request: &ChargeRequest<'_>, verdict: &Verdict, now: Timestamp) {
        let account = self.account(request.account, now);
        account.own = None;
        account.heard_at = Some(now);
        match verdict {
            Verdict::Admitted { fleet_per_second } => {
                account.admitted.add(request.units, now);
                account.fleet_per_second = *fleet_per_second;
            }
            Verdict::Refused { fleet_per_second, .. } => {
                account.fleet_per_second = *fleet_per_second;
            }
        }
    }

    /// Whether an owner has lately told what all routers were admitted. Without it the router's
    /// share isn't known, and deciding alone refuses most of what lies within the limit.
    pub fn knows(&self, account: &str, now: Timestamp) -> bool {
        let heard = self.accounts.get(account).and_then(|account| account.heard_at);
        heard.is_some_and(|at| now.since(at) < KNOWN_FOR)
    }

    /// Decides without an owner. `routers` live, this one included; `draw` is drawn evenly from
    /// 0 to 1.
    pub fn decide(
        &mut self,
        request: &ChargeRequest<'_>,
        routers: u32,
        now: Timestamp,
        draw: f64,
    ) -> Verdict {
        let account = self.account(request.account, now);
        let fleet_per_second = account.fleet_per_second;
        let own = account.own_part(request.limit, routers, now);
        let part = part_of(request.limit, own.share);
        if request.is_certain {
            own.bucket.take_anyway(request.units, part, now);
            return Verdict::Admitted { fleet_per_second };
        }
        match own.bucket.take_by_chance(request.units, part, now, draw) {
            Ok(()) => Verdict::Admitted { fleet_per_second },
            Err(pause) => Verdict::Refused { pause: pause.max(MIN_PAUSE), fleet_per_second },
        }
    }

    fn account(&mut self, name: &str, now: Timestamp) -> &mut Account {
        if self.accounts.len() >= MANY_ACCOUNTS && !self.accounts.contains_key(name) {
            self.accounts.retain(|_, account| now.since(account.used_at) < IDLE_BEFORE_FORGOTTEN);
        }
        let account = self.accounts.entry(name.to_owned()).or_insert_with(|| Account::new(now));
        account.used_at = now;
        account
    }
}
