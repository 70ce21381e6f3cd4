//! The index of a segment, for queries by time, server and kind.
//!
//! It summarizes blocks of [`BLOCK_RECORDS`] records by their interval, the set of their kinds and a small Bloom filter
//! of their servers. It also holds a rollup for every ten seconds, and the gaps that the segment itself shows.

mod query;
mod rollup;

use crate::pb::{record::Kind, Block, ClockStepped, Hole, Index, Lost, Record};
use crate::segment::{self, Item, SegmentId};
use crate::{kind, text};
use query::{kind_bit, server_bits, server_filter};
use rollup::RollupBuilder;

pub use query::Query;

/// Records in a block. A block takes about 10 KiB; a day of a million records has 4,000 blocks.
pub const BLOCK_RECORDS: u32 = 256;
/// Length of the interval of a rollup, in microseconds.
pub const ROLLUP_US: i64 = 10_000_000;
/// Time without records after which a supervisor counts as stalled, in microseconds. It samples its metrics each
/// second.
pub const STALLED_US: i64 = 4_000_000;

/// Reasons of gaps as stored in indexes.
pub(crate) mod hole_reason {
    /// Bytes or sequence numbers are missing.
    pub const DAMAGED: &str = "damaged";
    /// Nothing was recorded for longer than [`super::STALLED_US`].
    pub const STALLED: &str = "stalled";
    /// Records did not reach the disk.
    pub const LOST: &str = "lost";
    /// The system clock stepped.
    pub const CLOCK: &str = "clock";
}

/// Builds the index of a segment from its items.
pub struct Builder {
    index: Index,
    block: Option<Block>,
    rollup: Option<RollupBuilder>,
    /// Whether damage precedes the next record.
    follows_damage: bool,
}

impl Builder {
    /// Creates an empty index of a segment. `length` is the length of its file in bytes.
    pub fn new(id: SegmentId, length: u64) -> Self {
        let index = Index {
            length,
            incarnation: id.incarnation,
            number: id.number,
            ..Index::default()
        };
        Builder {
            index,
            block: None,
            rollup: None,
            follows_damage: false,
        }
    }

    /// Adds the next item of the segment.
    pub fn add(&mut self, item: &Item) {
        match item {
            Item::Header(header) => self.index.supervisor.clone_from(&header.supervisor),
            Item::Damaged(bytes) => {
                self.index.damaged_bytes += bytes;
                self.follows_damage = true;
            }
            Item::Torn(bytes) => self.index.torn_bytes += bytes,
            Item::Record { at, bytes, decoded } => {
                let record = &decoded.record;
                self.add_hole_before(record);
                self.add_recorded_hole(record);
                self.add_to_block(*at, *bytes, decoded.number, record);
                self.add_to_rollup(decoded.number, record);
                self.index.records += 1;
                self.index.last_seq = record.seq;
                self.index.last_us = record.learned_us;
                self.index.stopped = matches!(record.kind, Some(Kind::Stopped(_)));
            }
        }
    }

    /// Adds a gap before a record if sequence numbers or bytes are missing there, or if the supervisor stalled.
    fn add_hole_before(&mut self, record: &Record) {
        if self.index.records == 0 {
            self.index.first_seq = record.seq;
            self.index.first_us = record.learned_us;
            self.follows_damage = false;
            return;
        }
        let from_us = self.index.last_us;
        let to_us = record.learned_us;
        let distance = record.seq.saturating_sub(self.index.last_seq);
        let missing = distance.saturating_sub(1);
        let reason = if missing > 0 || std::mem::take(&mut self.follows_damage) {
            hole_reason::DAMAGED
        } else if to_us.saturating_sub(from_us) > STALLED_US {
            hole_reason::STALLED
        } else {
            return;
        };
        self.index.holes.push(Hole {
            from_us,
            to_us,
            missing,
            reason: reason.into(),
            detail: String::new(),
        });
    }

    /// Adds the gap that a record itself describes: lost records or a step of the clock.
    fn add_recorded_hole(&mut self, record: &Record) {
        let hole = match &record.kind {
            Some(Kind::Lost(lost)) => lost_hole(lost),
            Some(Kind::ClockStepped(step)) => clock_hole(record.at_us, *step),
            _ => return,
        };
        self.index.holes.push(hole);
    }

    fn add_to_block(&mut self, at: u64, bytes: u64, number: u32, record: &Record) {
        let is_full = self
            .block
            .as_ref()
            .is_some_and(|block| block.records >= BLOCK_RECORDS);
        if is_full {
            self.index.blocks.extend(self.block.take());
        }
        let block = self.block.get_or_insert_with(|| Block {
            offset: at,
            first_seq: record.seq,
            min_at_us: record.at_us,
            max_at_us: record.at_us,
            ..Block::default()
        });
        block.records += 1;
        block.bytes = at + bytes - block.offset;
        block.last_seq = record.seq;
        block.min_at_us = block.min_at_us.min(record.at_us);
        block.max_at_us = block.max_at_us.max(record.at_us);
        block.kinds |= kind_bit(number);
        let server = record.kind.as_ref().and_then(kind::server);
        let filter = server_filter(block) | server.map_or(0, server_bits);
        block.servers_low = filter as u64;
        block.servers_high = (filter >> 64) as u64;
    }

    /// Rollups use the time at which records were learned, which never decreases.
    fn add_to_rollup(&mut self, number: u32, record: &Record) {
        let from_us = record.learned_us.div_euclid(ROLLUP_US) * ROLLUP_US;
        let is_over = self
            .rollup
            .as_ref()
            .is_some_and(|rollup| rollup.from_us != from_us);
        if is_over {
            self.finish_rollup();
        }
        if self.rollup.is_none() {
            self.rollup = RollupBuilder::new(from_us);
        }
        if let Some(rollup) = &mut self.rollup {
            rollup.add(number, record);
        }
    }

    fn finish_rollup(&mut self) {
        let rollup = self.rollup.take().map(RollupBuilder::finish);
        self.index.rollups.extend(rollup);
    }

    /// Completes the last block and rollup and returns the index.
    pub fn finish(mut self) -> Index {
        self.index.blocks.extend(self.block.take());
        self.finish_rollup();
        self.index
    }
}

fn lost_hole(lost: &Lost) -> Hole {
    Hole {
        from_us: lost.from_us,
        to_us: lost.to_us,
        missing: lost.count,
        reason: hole_reason::LOST.into(),
        detail: lost.reason.clone(),
    }
}

fn clock_hole(at_us: i64, step: ClockStepped) -> Hole {
    Hole {
        from_us: at_us,
        to_us: at_us,
        missing: 0,
        reason: hole_reason::CLOCK.into(),
        detail: text::line(&Kind::ClockStepped(step)),
    }
}

/// Builds the index of a segment from all of its bytes.
pub fn build(id: SegmentId, bytes: &[u8]) -> Index {
    let mut builder = Builder::new(id, bytes.len() as u64);
    for (_, item) in segment::items(bytes, 0) {
        builder.add(&item);
    }
    builder.finish()
}

#[cfg(test)]
mod tests;
