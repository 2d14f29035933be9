//! Sources from which a server can fetch shared segments, in services with tight objectives.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use juniper_types::Timestamp;

use crate::cache::stored_segments::scope_of;
use crate::choice::KvStore;
use crate::homes::ChainKeys;
use crate::placement::Placement;
use crate::server::Server;

/// Duration of a transfer between zones, relative to one within a zone.
const OTHER_ZONE_FACTOR: f64 = 2.0;

/// Transfer of segments to a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Transfer {
    /// Transferred tokens.
    pub tokens: u32,
    /// Duration including the wait for other transfers of the source, in milliseconds.
    pub ms: f64,
    /// Index of a server to fetch from; other servers may hold as many segments.
    pub server: Option<usize>,
    /// Store to fetch from.
    pub store: Option<SocketAddrV4>,
}

/// Sources of a prompt's shared segments, by version of the weights.
pub(crate) struct TransferSources<'a> {
    by_version: HashMap<u64, Vec<Source<'a>>>,
}

/// A store, or the servers of one zone that hold the longest prefix.
struct Source<'a> {
    zone: &'a str,
    /// Tokens of the longest prefix that the source holds.
    tokens: u32,
    /// Transfer time of one token within the zone, in milliseconds.
    ms_per_token: f64,
    wait_ms: f64,
    server: Option<usize>,
    store: Option<SocketAddrV4>,
}

impl TransferSources<'_> {
    /// The source with the most tokens for a server that has `cached_tokens` in its cache; among
    /// equals, the one with the shortest transfer.
    pub(crate) fn best(&self, server: &Server, version: u64, cached_tokens: u32) -> Transfer {
        let sources = self.by_version.get(&version).map_or(&[][..], Vec::as_slice);
        let useful = sources.iter().filter(|source| source.tokens > cached_tokens);
        let transfers = useful.map(|source| {
            let is_far = source.zone != server.instance.report.zone;
            let zone_factor = if is_far { OTHER_ZONE_FACTOR } else { 1.0 };
            let tokens = source.tokens - cached_tokens;
            let ms = f64::from(tokens) * source.ms_per_token * zone_factor + source.wait_ms;
            Transfer { tokens, ms, server: source.server, store: source.store }
        });
        let order = |one: &Transfer, other: &Transfer| {
            other.tokens.cmp(&one.tokens).then(one.ms.total_cmp(&other.ms))
        };
        transfers.min_by(order).unwrap_or_default()
    }
}

impl Placement {
    /// Sources of the prompt's shared segments; `ready` has the tokens that can be fetched from
    /// each server.
    pub(crate) fn transfer_sources<'a>(
        &'a self,
        service: &str,
        servers: &[&'a Server],
        (versions, ready): (&[u64], &[u32]),
        chain: &ChainKeys,
        now: Timestamp,
    ) -> TransferSources<'a> {
        let server_ms = self.profile(service).transfer_ms_per_token;
        let mut by_version: HashMap<u64, Vec<Source<'a>>> = HashMap::new();
        for (index, server) in servers.iter().enumerate() {
            let sources = by_version.entry(versions[index]).or_insert_with(|| {
                let stores = self.stored.holders(scope_of(service, versions[index]), chain, now);
                let source = |(store, tokens)| self.store_source(store, tokens, server_ms, now);
                stores.into_iter().map(source).collect()
            });
            let report = &server.instance.report;
            if ready[index] == 0 {
                continue;
            }
            let found = Source {
                zone: &report.zone,
                tokens: ready[index],
                ms_per_token: server_ms,
                wait_ms: self.transfers.wait_ms(report.address, now),
                server: Some(index),
                store: None,
            };
            let same_zone =
                |source: &&mut Source<'_>| source.server.is_some() && source.zone == report.zone;
            match sources.iter_mut().find(same_zone) {
                None => sources.push(found),
                Some(known) => {
                    let is_better = found.tokens > known.tokens
                        || (found.tokens == known.tokens && found.wait_ms < known.wait_ms);
                    if is_better {
                        *known = found;
                    }
                }
            }
        }
        TransferSources { by_version }
    }

    fn store_source<'a>(
        &self,
        store: &'a KvStore,
        tokens: u32,
        server_ms: f64,
        now: Timestamp,
    ) -> Source<'a> {
        Source {
            zone: &store.zone,
            tokens,
            // The slower of the two links limits the transfer.
            ms_per_token: store.transfer_ms_per_token.max(server_ms),
            wait_ms: self.transfers.wait_ms(store.address, now),
            server: None,
            store: Some(store.address),
        }
    }
}
