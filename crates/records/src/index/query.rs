//! Queries, and the summaries of blocks by which most blocks are skipped.

use crate::kind;
use crate::pb::{Block, Record};

/// Selects a bit position of the filter, which has 128 bits, from a hash.
const FILTER_MASK: u32 = 127;
/// Bits of a hash that one bit position takes.
const FILTER_SHIFT: u32 = 7;

/// Which records are wanted. A field without a value accepts all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Not earlier, in Unix microseconds.
    pub from_us: Option<i64>,
    /// Not later, in Unix microseconds.
    pub to_us: Option<i64>,
    /// Of one of these kinds, by number.
    pub kinds: Vec<u32>,
    /// About this server.
    pub server: Option<String>,
}

impl Query {
    /// Records between two times, in Unix microseconds.
    pub fn between(from_us: i64, to_us: i64) -> Self {
        Query {
            from_us: Some(from_us),
            to_us: Some(to_us),
            ..Query::default()
        }
    }

    /// Whether an interval overlaps that of the query.
    pub fn overlaps(&self, min_us: i64, max_us: i64) -> bool {
        let ends_late_enough = self.from_us.is_none_or(|from_us| max_us >= from_us);
        let begins_early_enough = self.to_us.is_none_or(|to_us| min_us <= to_us);
        ends_late_enough && begins_early_enough
    }

    /// Whether a block may hold wanted records.
    pub fn may_match(&self, block: &Block) -> bool {
        let has_kind = |number: &u32| block.kinds & kind_bit(*number) != 0;
        let may_hold_kinds = self.kinds.is_empty() || self.kinds.iter().any(has_kind);
        let wanted_bits = self.server.as_deref().map_or(0, server_bits);
        let may_hold_server = server_filter(block) & wanted_bits == wanted_bits;
        may_hold_kinds && may_hold_server && self.overlaps(block.min_at_us, block.max_at_us)
    }

    /// Whether a record, whose kind has a number, is wanted.
    pub fn matches(&self, record: &Record, number: u32) -> bool {
        let server = record.kind.as_ref().and_then(kind::server);
        let is_wanted_kind = self.kinds.is_empty() || self.kinds.contains(&number);
        let is_wanted_server = self.server.is_none() || self.server.as_deref() == server;
        self.overlaps(record.at_us, record.at_us) && is_wanted_kind && is_wanted_server
    }
}

/// The bit of a kind in a block's set of kinds; none for a kind beyond the set.
pub(super) fn kind_bit(number: u32) -> u64 {
    let position = number.wrapping_sub(kind::FIRST_NUMBER);
    1u64.checked_shl(position).unwrap_or(0)
}

/// The two bits of a server in a block's Bloom filter.
pub(super) fn server_bits(server: &str) -> u128 {
    let hash = crc32fast::hash(server.as_bytes());
    let first = hash & FILTER_MASK;
    let second = (hash >> FILTER_SHIFT) & FILTER_MASK;
    (1 << first) | (1 << second)
}

/// The Bloom filter of the servers in a block.
pub(super) fn server_filter(block: &Block) -> u128 {
    (u128::from(block.servers_high) << 64) | u128::from(block.servers_low)
}
