//! The index of a segment, made for one question: what happened between two times, to this server, of this kind? Blocks
//! of a few hundred records with their span of time, the set of their kinds and a small Bloom filter of their servers;
//! beside them sums of every ten seconds, and the intervals of which the segment itself tells that something is missing.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::kind;
use crate::pb::{record::Kind, Block, Hole, Index, Record, Rollup};
use crate::segment::{Item, SegmentId};

/// Records in a block: reading one costs some 10 KiB, and a day of a million records has 4,000 of them.
pub const BLOCK_RECORDS: u32 = 256;
/// Length of a rollup, in microseconds.
pub const ROLLUP_US: i64 = 10_000_000;
/// A supervisor that records nothing for so long stood still, in microseconds: the figures of the fleet come each second.
pub const STALLED_US: i64 = 4_000_000;
/// Largest count of waiting lines that the sketch tells apart.
const WAITING_MOST: u64 = 10_000_000;
/// Significant digits of the sketch: a hundredth is finer than a chart.
const WAITING_DIGITS: u8 = 2;

/// The two bits that a server's name sets in a block's filter.
fn bits(server: &str) -> u128 {
    let hash = crc32fast::hash(server.as_bytes());
    (1 << (hash & 127)) | (1 << ((hash >> 7) & 127))
}

fn filter(block: &Block) -> u128 {
    (u128::from(block.servers_high) << 64) | u128::from(block.servers_low)
}

/// Which records are wanted. Nothing given stands for all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Not before, in Unix microseconds.
    pub from_us: Option<i64>,
    /// Not after.
    pub to_us: Option<i64>,
    /// Of these kinds, by number.
    pub kinds: Vec<u32>,
    /// About this server.
    pub server: Option<String>,
}

impl Query {
    /// Records between two times.
    pub fn between(from_us: i64, to_us: i64) -> Self {
        Query {
            from_us: Some(from_us),
            to_us: Some(to_us),
            ..Query::default()
        }
    }

    /// Whether a span of time may hold wanted records.
    pub fn spans(&self, min_us: i64, max_us: i64) -> bool {
        self.from_us.is_none_or(|from| max_us >= from) && self.to_us.is_none_or(|to| min_us <= to)
    }

    /// Whether a block may hold wanted records.
    pub fn may_hold(&self, block: &Block) -> bool {
        let bit = |number: &u32| {
            1u64.checked_shl(number.wrapping_sub(kind::FIRST))
                .unwrap_or(0)
        };
        let kinds = self.kinds.is_empty()
            || self
                .kinds
                .iter()
                .any(|number| block.kinds & bit(number) != 0);
        let servers = self.server.as_ref().map_or(0, |server| bits(server));
        kinds && filter(block) & servers == servers && self.spans(block.min_at_us, block.max_at_us)
    }

    /// Whether a record is wanted.
    pub fn holds(&self, record: &Record, number: u32) -> bool {
        let server = |wanted: &String| record.kind.as_ref().and_then(kind::server) == Some(wanted);
        self.spans(record.at_us, record.at_us)
            && (self.kinds.is_empty() || self.kinds.contains(&number))
            && self.server.as_ref().is_none_or(server)
    }
}

/// Sums over ten seconds as they come in.
struct Sums {
    from_us: i64,
    counts: BTreeMap<u32, u32>,
    waiting: Histogram<u64>,
    refused: (f64, f64, u32),
    streams: Option<(u32, u32)>,
    withdrawn: u32,
    levels: Vec<f64>,
}

impl Sums {
    fn new(from_us: i64) -> Option<Self> {
        let waiting = Histogram::new_with_max(WAITING_MOST, WAITING_DIGITS).ok()?;
        let (counts, refused, streams, withdrawn) = (BTreeMap::new(), (0.0, 0.0, 0), None, 0);
        Some(Sums {
            from_us,
            counts,
            waiting,
            refused,
            streams,
            withdrawn,
            levels: Vec::new(),
        })
    }

    fn add(&mut self, number: u32, record: &Record) {
        *self.counts.entry(number).or_default() += 1;
        let Some(Kind::Gauge(gauge)) = &record.kind else {
            return;
        };
        self.waiting
            .saturating_record(gauge.waiting.max(0.0) as u64);
        let (sum, most, count) = self.refused;
        self.refused = (sum + gauge.refused, most.max(gauge.refused), count + 1);
        let (least, most) = self.streams.unwrap_or((gauge.streams, gauge.streams));
        self.streams = Some((least.min(gauge.streams), most.max(gauge.streams)));
        self.withdrawn = self.withdrawn.max(gauge.withdrawn);
        self.levels
            .resize(self.levels.len().max(gauge.levels.len()), 1.0);
        for (known, level) in self.levels.iter_mut().zip(&gauge.levels) {
            *known = known.min(*level);
        }
    }

    fn rollup(self) -> Rollup {
        let (sum, most, count) = self.refused;
        let (streams_least, streams_most) = self.streams.unwrap_or_default();
        let quantile = |share: f64| self.waiting.value_at_quantile(share) as f64;
        Rollup {
            from_us: self.from_us,
            counts: self.counts,
            waiting_p50: quantile(0.5),
            waiting_p95: quantile(0.95),
            waiting_most: self.waiting.max() as f64,
            refused_mean: sum / f64::from(count.max(1)),
            refused_most: most,
            streams_least,
            streams_most,
            withdrawn_most: self.withdrawn,
            levels: self.levels,
        }
    }
}

/// Builds the index of a segment from its items, one at a time.
pub struct Builder {
    index: Index,
    block: Option<Block>,
    sums: Option<Sums>,
    damaged: bool,
}

impl Builder {
    /// Begins the index of a segment that is so long.
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
            sums: None,
            damaged: false,
        }
    }

    /// Takes in the next item.
    pub fn add(&mut self, item: &Item) {
        match item {
            Item::Header(header) => self.index.supervisor.clone_from(&header.supervisor),
            Item::Damaged(bytes) => {
                self.index.damaged_bytes += bytes;
                self.damaged = true;
            }
            Item::Torn(bytes) => self.index.torn_bytes += bytes,
            Item::Record { at, bytes, read } => {
                self.follows(&read.record);
                self.holes(&read.record);
                self.block(*at, *bytes, read.number, &read.record);
                self.roll(read.number, &read.record);
                self.index.records += 1;
                self.index.last_seq = read.record.seq;
                self.index.last_us = read.record.learned_us;
                self.index.stopped = matches!(read.record.kind, Some(Kind::Stopped(_)));
            }
        }
    }

    /// Marks what is missing between the last record and this one.
    fn follows(&mut self, record: &Record) {
        if self.index.records == 0 {
            (self.index.first_seq, self.index.first_us) = (record.seq, record.learned_us);
            self.damaged = false;
            return;
        }
        let (from_us, to_us) = (self.index.last_us, record.learned_us);
        let missing = record
            .seq
            .saturating_sub(self.index.last_seq)
            .saturating_sub(1);
        let hole = |reason: &str| Hole {
            from_us,
            to_us,
            missing,
            reason: reason.into(),
            detail: String::new(),
        };
        if missing > 0 || std::mem::take(&mut self.damaged) {
            self.index.holes.push(hole("damaged"));
        } else if to_us.saturating_sub(from_us) > STALLED_US {
            self.index.holes.push(hole("stalled"));
        }
    }

    /// What a record itself tells of what is missing.
    fn holes(&mut self, record: &Record) {
        let hole = match &record.kind {
            Some(Kind::Lost(of)) => Hole {
                from_us: of.from_us,
                to_us: of.to_us,
                missing: of.count,
                reason: "lost".into(),
                detail: of.reason.clone(),
            },
            Some(Kind::ClockStepped(of)) => Hole {
                from_us: record.at_us,
                to_us: record.at_us,
                missing: 0,
                reason: "clock".into(),
                detail: crate::text::line(&Kind::ClockStepped(*of)),
            },
            _ => return,
        };
        self.index.holes.push(hole);
    }

    fn block(&mut self, at: u64, bytes: u64, number: u32, record: &Record) {
        if self
            .block
            .as_ref()
            .is_some_and(|block| block.records >= BLOCK_RECORDS)
        {
            self.index.blocks.extend(self.block.take());
        }
        let fresh = || Block {
            offset: at,
            first_seq: record.seq,
            min_at_us: record.at_us,
            max_at_us: record.at_us,
            ..Block::default()
        };
        let block = self.block.get_or_insert_with(fresh);
        block.records += 1;
        block.bytes = at + bytes - block.offset;
        block.last_seq = record.seq;
        block.min_at_us = block.min_at_us.min(record.at_us);
        block.max_at_us = block.max_at_us.max(record.at_us);
        block.kinds |= 1u64
            .checked_shl(number.wrapping_sub(kind::FIRST))
            .unwrap_or(0);
        let servers = filter(block) | record.kind.as_ref().and_then(kind::server).map_or(0, bits);
        (block.servers_low, block.servers_high) = (servers as u64, (servers >> 64) as u64);
    }

    /// Ten seconds are told by when records were learned, which never goes back.
    fn roll(&mut self, number: u32, record: &Record) {
        let from_us = record.learned_us.div_euclid(ROLLUP_US) * ROLLUP_US;
        if self
            .sums
            .as_ref()
            .is_some_and(|sums| sums.from_us != from_us)
        {
            self.index
                .rollups
                .extend(self.sums.take().map(Sums::rollup));
        }
        if self.sums.is_none() {
            self.sums = Sums::new(from_us);
        }
        if let Some(sums) = &mut self.sums {
            sums.add(number, record);
        }
    }

    /// The index.
    pub fn finish(mut self) -> Index {
        self.index.blocks.extend(self.block.take());
        self.index
            .rollups
            .extend(self.sums.take().map(Sums::rollup));
        self.index
    }
}

/// The index of a whole segment's bytes.
pub fn build(id: SegmentId, bytes: &[u8]) -> Index {
    let mut builder = Builder::new(id, bytes.len() as u64);
    crate::segment::items(bytes, 0).for_each(|(_, item)| builder.add(&item));
    builder.finish()
}

#[cfg(test)]
mod tests;
