//! Invariants of fencing tokens and orders.

use std::collections::BTreeMap;

use juniper_emulators::engine::orders::OrderNumber;

use super::record::{Record, TokenRequest};
use super::target::TargetEngine;

/// Violation of a fencing invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderViolation {
    /// Two order dispatchers received the same token.
    #[error("dispatchers {first} and {second} both received token {token}")]
    DuplicateToken {
        /// Token that was issued twice.
        token: u64,
        /// Client number of one dispatcher.
        first: usize,
        /// Client number of the other dispatcher.
        second: usize,
    },
    /// A token is lower than one that had been issued before it was requested.
    #[error("token {later} was requested after {earlier} had been issued")]
    TokenDecreased {
        /// Token issued first.
        earlier: u64,
        /// Token requested afterwards.
        later: u64,
    },
    /// An order took effect after one with the same or a higher number.
    #[error("engine {engine}: {after:?} took effect after {before:?}")]
    OutOfOrder {
        /// Index of the engine.
        engine: usize,
        /// Number of the order that took effect first.
        before: OrderNumber,
        /// Number of the order that took effect next.
        after: OrderNumber,
    },
    /// An order took effect under a token that was issued to another dispatcher.
    #[error(
        "engine {engine}: order {number:?} of dispatcher {dispatcher} took effect under a foreign token"
    )]
    ForeignToken {
        /// Index of the engine.
        engine: usize,
        /// Client number of the dispatcher that sent the order.
        dispatcher: usize,
        /// Number of the order.
        number: OrderNumber,
    },
    /// The engine's witness recorded a breach.
    #[error("engine {engine} recorded a breach: {breach}")]
    WitnessedBreach {
        /// Index of the engine.
        engine: usize,
        /// Kind and details of the breach.
        breach: String,
    },
}

/// Returns all violations.
pub fn check(record: &Record, engines: &[TargetEngine]) -> Vec<OrderViolation> {
    let mut violations = check_tokens(record);
    let owners = owners(record);
    for (index, engine) in engines.iter().enumerate() {
        violations.extend(check_engine(index, engine, &owners));
    }
    violations
}

/// Client number of the first dispatcher that received each token.
fn owners(record: &Record) -> BTreeMap<u64, usize> {
    let mut owners = BTreeMap::new();
    for request in &record.token_requests {
        if let Some((_, token)) = request.issued {
            owners.entry(token).or_insert(request.dispatcher);
        }
    }
    owners
}

fn check_tokens(record: &Record) -> Vec<OrderViolation> {
    let mut violations = Vec::new();
    let issued: Vec<(&TokenRequest, u64, u64)> = record
        .token_requests
        .iter()
        .filter_map(|request| request.issued.map(|(at, token)| (request, at, token)))
        .collect();
    for (index, (request, at, token)) in issued.iter().enumerate() {
        for (other, other_at, other_token) in &issued[index + 1..] {
            if token == other_token {
                let (first, second) = (request.dispatcher, other.dispatcher);
                let token = *token;
                violations.push(OrderViolation::DuplicateToken { token, first, second });
            }
            let (earlier, later) =
                match (*at < other.requested_at, *other_at < request.requested_at) {
                    (true, _) => (*token, *other_token),
                    (_, true) => (*other_token, *token),
                    _ => continue,
                };
            if later < earlier {
                violations.push(OrderViolation::TokenDecreased { earlier, later });
            }
        }
    }
    violations
}

fn check_engine(
    index: usize,
    target: &TargetEngine,
    owners: &BTreeMap<u64, usize>,
) -> Vec<OrderViolation> {
    let breaches = target.engine().witness().described().iter();
    let witnessed = breaches.map(|breach| OrderViolation::WitnessedBreach {
        engine: index,
        breach: format!("{:?} {}", breach.kind, breach.detail),
    });
    let applied = target.applied();
    let out_of_order = applied.windows(2).filter(|pair| pair[1].0 <= pair[0].0);
    let out_of_order = out_of_order.map(|pair| OrderViolation::OutOfOrder {
        engine: index,
        before: pair[0].0,
        after: pair[1].0,
    });
    let foreign =
        applied.iter().filter(|(number, dispatcher)| owners.get(&number.token) != Some(dispatcher));
    let foreign = foreign.map(|(number, dispatcher)| OrderViolation::ForeignToken {
        engine: index,
        dispatcher: *dispatcher,
        number: *number,
    });
    witnessed.chain(out_of_order).chain(foreign).collect()
}
