//! Queries, and the block summaries that let a query skip most blocks.

use crate::kind;
use crate::pb::{Block, Record};

/// Selects a bit position of the 128-bit filter from a hash.
const FILTER_MASK: u32 = 127;
/// Number of bits of the hash that one bit position uses.
const FILTER_SHIFT: u32 = 7;

/// Selects records. A field without a value accepts all records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// The earliest time, in Unix microseconds.
    pub from_us: Option<i64>,
    /// The latest time, in Unix microseconds.
    pub to_us: Option<i64>,
    /// The numbers of the accepted kinds.
    pub kinds: Vec<u32>,
    /// The name of the server that the records concern.
    pub server: Option<String>,
}

impl Query {
    /// Returns a query for all records between two times, in Unix microseconds.
    pub fn between(from_us: i64, to_us: i64) -> Self {
        Query {
            from_us: Some(from_us),
            to_us: Some(to_us),
            ..Query::default()
        }
    }

    /// Returns whether the query's interval overlaps another one.
    pub fn overlaps(&self, min_us: i64, max_us: i64) -> bool {
        let ends_late_enough = self.from_us.is_none_or(|from_us| max_us >= from_us);
        let begins_early_enough = self.to_us.is_none_or(|to_us| min_us <= to_us);
        ends_late_enough && begins_early_enough
    }

    /// Returns whether a block may contain matching records. The filter of servers has false positives, but no false
    /// negatives.
    pub fn may_match(&self, block: &Block) -> bool {
        let has_kind = |number: &u32| block.kinds & kind_bit(*number) != 0;
        let may_match_kinds = self.kinds.is_empty() || self.kinds.iter().any(has_kind);
        let wanted_bits = self.server.as_deref().map_or(0, server_bits);
        let may_match_server = server_filter(block) & wanted_bits == wanted_bits;
        may_match_kinds && may_match_server && self.overlaps(block.min_at_us, block.max_at_us)
    }

    /// Returns whether a record matches. `number` is the number of its kind.
    pub fn matches(&self, record: &Record, number: u32) -> bool {
        let server = record.kind.as_ref().and_then(kind::server);
        let matches_kind = self.kinds.is_empty() || self.kinds.contains(&number);
        let matches_server = self.server.is_none() || self.server.as_deref() == server;
        self.overlaps(record.at_us, record.at_us) && matches_kind && matches_server
    }
}

/// Returns the bit of a kind in a block's set of kinds, or 0 for a kind beyond the set.
pub(super) fn kind_bit(number: u32) -> u64 {
    let position = number.wrapping_sub(kind::FIRST_NUMBER);
    1u64.checked_shl(position).unwrap_or(0)
}

/// Returns the two bits of a server in a block's Bloom filter.
pub(super) fn server_bits(server: &str) -> u128 {
    let hash = crc32fast::hash(server.as_bytes());
    let first = hash & FILTER_MASK;
    let second = (hash >> FILTER_SHIFT) & FILTER_MASK;
    (1 << first) | (1 << second)
}

/// Returns the Bloom filter of the servers in a block.
pub(super) fn server_filter(block: &Block) -> u128 {
    (u128::from(block.servers_high) << 64) | u128::from(block.servers_low)
}
