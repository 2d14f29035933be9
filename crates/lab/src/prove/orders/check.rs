//! What must hold of tokens and orders.

use std::collections::BTreeMap;

use juniper_emulators::engine::orders::OrderNumber;

use super::record::{Draw, Record};
use super::target::Target;

/// A breach of what fencing promises.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderViolation {
    /// Two order-givers hold one token.
    #[error("givers {first} and {second} both drew token {token}")]
    TokenDrawnTwice {
        /// The token.
        token: u64,
        /// One.
        first: usize,
        /// The other.
        second: usize,
    },
    /// A token is not higher than one that was known before it was asked for.
    #[error("token {later} was drawn after {earlier} had been answered")]
    TokenWentBack {
        /// The earlier one.
        earlier: u64,
        /// The later one.
        later: u64,
    },
    /// Orders took effect out of order.
    #[error("engine {engine}: {after:?} took effect after {before:?}")]
    OutOfOrder {
        /// The engine.
        engine: usize,
        /// The higher number.
        before: OrderNumber,
        /// The lower one.
        after: OrderNumber,
    },
    /// An order took effect under a token that its giver doesn't hold.
    #[error("engine {engine}: giver {giver} had an order take effect under {number:?} of another")]
    ForeignToken {
        /// The engine.
        engine: usize,
        /// Who gave the order.
        giver: usize,
        /// Its number.
        number: OrderNumber,
    },
    /// The engine itself saw a breach.
    #[error("engine {engine} saw {breach}")]
    Witnessed {
        /// The engine.
        engine: usize,
        /// What it saw.
        breach: String,
    },
}

/// Everything that is wrong.
pub fn check(record: &Record, engines: &[Target]) -> Vec<OrderViolation> {
    let mut violations = check_tokens(record);
    let owners = owners(record);
    for (place, engine) in engines.iter().enumerate() {
        violations.extend(check_engine(place, engine, &owners));
    }
    violations
}

/// Who drew each token first.
fn owners(record: &Record) -> BTreeMap<u64, usize> {
    let mut owners = BTreeMap::new();
    for draw in &record.draws {
        if let Some((_, token)) = draw.answered {
            owners.entry(token).or_insert(draw.giver);
        }
    }
    owners
}

fn check_tokens(record: &Record) -> Vec<OrderViolation> {
    let mut violations = Vec::new();
    let answered: Vec<(&Draw, u64, u64)> = record
        .draws
        .iter()
        .filter_map(|draw| draw.answered.map(|(at, token)| (draw, at, token)))
        .collect();
    for (place, (draw, at, token)) in answered.iter().enumerate() {
        for (other, other_at, other_token) in &answered[place + 1..] {
            if token == other_token {
                let (first, second) = (draw.giver, other.giver);
                let token = *token;
                violations.push(OrderViolation::TokenDrawnTwice { token, first, second });
            }
            let (earlier, later) = match (*at < other.called, *other_at < draw.called) {
                (true, _) => (*token, *other_token),
                (_, true) => (*other_token, *token),
                _ => continue,
            };
            if later < earlier {
                violations.push(OrderViolation::TokenWentBack { earlier, later });
            }
        }
    }
    violations
}

fn check_engine(
    place: usize,
    target: &Target,
    owners: &BTreeMap<u64, usize>,
) -> Vec<OrderViolation> {
    let breaches = target.engine().witness().described().iter();
    let witnessed = breaches.map(|breach| OrderViolation::Witnessed {
        engine: place,
        breach: format!("{:?} {}", breach.kind, breach.detail),
    });
    let applied = target.applied();
    let disordered = applied.windows(2).filter(|pair| pair[1].0 <= pair[0].0);
    let disordered = disordered.map(|pair| OrderViolation::OutOfOrder {
        engine: place,
        before: pair[0].0,
        after: pair[1].0,
    });
    let foreign = applied.iter().filter(|(number, giver)| owners.get(&number.token) != Some(giver));
    let foreign = foreign.map(|(number, giver)| OrderViolation::ForeignToken {
        engine: place,
        giver: *giver,
        number: *number,
    });
    witnessed.chain(disordered).chain(foreign).collect()
}
