//! Recorded demand in a neutral form, which any source can fill: one line for each request, CSV with a head,
//!
//! ```text
//! at_ms,class,zone,key,work_ms
//! 0.000,status-read,hall-gueliz,,
//! 12.250,petition-file,hall-medina,p-4711,310
//! ```
//!
//! Only time and class must be there. Times count from any start; lines may be out of order. A key that comes twice stays
//! twice: whether that is one petition is for whoever plays it.

use std::collections::HashMap;
use std::io::{Read, Write};

/// Requests at most: a day of the largest deployment would be some 240 million; what fits in memory is a rehearsal of hours.
const REQUESTS_MOST: usize = 20_000_000;
/// Names of classes, and of zones, at most.
const NAMES_MOST: usize = 256;
/// Longest key and name, in bytes.
const NAME_MOST: usize = 200;
/// Faults that are told one by one.
const FAULTS_MOST: usize = 20;
/// Latest time, in milliseconds: a year.
const AT_MOST: f64 = 3.2e10;
/// Greatest work, in milliseconds.
const WORK_MOST: f64 = 1e9;

/// One request that came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, in microseconds since the first.
    pub at_us: u64,
    /// Its class, a place in [`Traffic::classes`].
    pub class: u16,
    /// Its zone, a place in [`Traffic::zones`], if it is known.
    pub zone: Option<u16>,
    /// Its key: those with the same number have the same one.
    pub key: Option<u32>,
    /// What it takes a server, in milliseconds, if it is known.
    pub work_ms: Option<f64>,
}

/// All that came, in the order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The requests.
    pub arrivals: Vec<Arrival>,
    /// Keys so far.
    pub keys: u32,
    /// Lines that stood after a later one.
    pub out_of_order: u64,
}

/// Why a file is not taken.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// It can't be read.
    #[error("cannot be read: {0}")]
    Io(#[from] csv::Error),
    /// A column is missing or unknown.
    #[error("line 1: the head must name at_ms and class, and may name zone, key and work_ms; it has {0:?}")]
    Head(String),
    /// Lines that say nothing true: their numbers and why, the first ones, and how many there are.
    #[error("{1} lines are wrong: {0}")]
    Lines(String, usize),
    /// There is too much of it.
    #[error("more than {0} {1}")]
    TooMany(usize, &'static str),
}

#[derive(Default)]
struct Names(Vec<String>, HashMap<String, u16>);

impl Names {
    fn of(&mut self, name: &str) -> Option<u16> {
        if let Some(known) = self.1.get(name) {
            return Some(*known);
        }
        let number = u16::try_from(self.0.len())
            .ok()
            .filter(|number| usize::from(*number) < NAMES_MOST)?;
        self.0.push(name.to_string());
        self.1.insert(name.to_string(), number);
        Some(number)
    }
}

fn number(text: &str, most: f64) -> Option<f64> {
    text.trim()
        .parse::<f64>()
        .ok()
        .filter(|value| (0.0..=most).contains(value))
}

/// Reads a file; every line is read before a fault is told.
pub fn read(from: impl Read) -> Result<Traffic, Fault> {
    let mut lines = csv::ReaderBuilder::new()
        .flexible(true)
        .comment(Some(b'#'))
        .from_reader(from);
    let head = lines.headers()?.clone();
    let column = |name: &str| head.iter().position(|known| known.trim() == name);
    let unknown = head
        .iter()
        .any(|name| !["at_ms", "class", "zone", "key", "work_ms"].contains(&name.trim()));
    let (Some(at), Some(class), false) = (column("at_ms"), column("class"), unknown) else {
        return Err(Fault::Head(head.iter().collect::<Vec<_>>().join(",")));
    };
    let (zone, key, work) = (column("zone"), column("key"), column("work_ms"));
    let (mut classes, mut zones, mut keys) = (
        Names::default(),
        Names::default(),
        HashMap::<String, u32>::new(),
    );
    let (mut traffic, mut faults, mut wrong, mut last) =
        (Traffic::default(), Vec::new(), 0, 0.0f64);
    let mut times: Vec<f64> = Vec::new();
    let mut line = csv::StringRecord::new();
    while lines.read_record(&mut line)? {
        if traffic.arrivals.len() >= REQUESTS_MOST {
            return Err(Fault::TooMany(REQUESTS_MOST, "requests"));
        }
        let place = line.position().map_or(0, csv::Position::line);
        let field = |column: Option<usize>| {
            column
                .and_then(|at| line.get(at))
                .map(str::trim)
                .filter(|text| !text.is_empty())
        };
        let mut fault = |said: String| {
            wrong += 1;
            if faults.len() < FAULTS_MOST {
                faults.push(format!("line {place}: {said}"));
            }
        };
        let long = [class, at]
            .into_iter()
            .chain(zone)
            .chain(key)
            .filter_map(|at| line.get(at))
            .any(|text| text.len() > NAME_MOST);
        let Some(at_ms) = field(Some(at)).and_then(|text| number(text, AT_MOST)) else {
            fault(format!(
                "{:?} is no time: give milliseconds from 0 on",
                field(Some(at)).unwrap_or_default()
            ));
            continue;
        };
        let Some(class) = field(Some(class)).filter(|_| !long) else {
            fault(if long {
                "a name is too long".to_string()
            } else {
                "no class".to_string()
            });
            continue;
        };
        let work_ms = field(work).map(|text| number(text, WORK_MOST));
        if work_ms == Some(None) {
            fault(format!(
                "{:?} is no work in milliseconds",
                field(work).unwrap_or_default()
            ));
            continue;
        }
        let class = classes
            .of(class)
            .ok_or(Fault::TooMany(NAMES_MOST, "classes"))?;
        let zone = match field(zone) {
            Some(name) => Some(zones.of(name).ok_or(Fault::TooMany(NAMES_MOST, "zones"))?),
            None => None,
        };
        let fresh = u32::try_from(keys.len()).unwrap_or(u32::MAX);
        let key = field(key).map(|key| *keys.entry(key.to_string()).or_insert(fresh));
        traffic.out_of_order += u64::from(at_ms < last);
        last = last.max(at_ms);
        times.push(at_ms);
        traffic.arrivals.push(Arrival {
            at_us: 0,
            class,
            zone,
            key,
            work_ms: work_ms.flatten(),
        });
    }
    if wrong > 0 {
        return Err(Fault::Lines(faults.join("; "), wrong));
    }
    let first = times.iter().copied().fold(f64::INFINITY, f64::min);
    for (arrival, at) in traffic.arrivals.iter_mut().zip(&times) {
        arrival.at_us = ((at - first) * 1000.0).round() as u64;
    }
    // Those at the same time stay in the order of their lines.
    traffic.arrivals.sort_by_key(|arrival| arrival.at_us);
    (traffic.classes, traffic.zones) = (classes.0, zones.0);
    traffic.keys = u32::try_from(keys.len()).unwrap_or(u32::MAX);
    Ok(traffic)
}

/// Writes a file that reads as the same.
pub fn write(traffic: &Traffic, to: impl Write) -> Result<(), Fault> {
    let mut lines = csv::Writer::from_writer(to);
    lines.write_record(["at_ms", "class", "zone", "key", "work_ms"])?;
    for of in &traffic.arrivals {
        let name =
            |names: &[String], at: u16| names.get(usize::from(at)).cloned().unwrap_or_default();
        lines.write_record([
            format!("{}.{:03}", of.at_us / 1000, of.at_us % 1000),
            name(&traffic.classes, of.class),
            of.zone
                .map(|zone| name(&traffic.zones, zone))
                .unwrap_or_default(),
            of.key.map(|key| format!("k{key}")).unwrap_or_default(),
            of.work_ms.map(|work| work.to_string()).unwrap_or_default(),
        ])?;
    }
    lines.flush().map_err(csv::Error::from)?;
    Ok(())
}

impl Traffic {
    /// From the first request to the last, in microseconds.
    pub fn length_us(&self) -> u64 {
        self.arrivals.last().map_or(0, |last| last.at_us)
    }

    /// Requests whose key came within so many microseconds before.
    pub fn repeats(&self, within_us: u64) -> u64 {
        let mut seen: HashMap<(u16, u32), u64> = HashMap::new();
        let mut repeats = 0;
        for of in &self.arrivals {
            let Some(key) = of.key else { continue };
            let before = seen.insert((of.class, key), of.at_us);
            repeats += u64::from(before.is_some_and(|before| of.at_us - before <= within_us));
        }
        repeats
    }
}

#[cfg(test)]
mod tests;
