//! The report on directories of records.

use std::path::{Path, PathBuf};

use chutegrade_records::pb::{self, Record};
use chutegrade_records::store::Store;
use chutegrade_records::{frame, Kind, Timeline, Window};
use chutegrade_report::{gather, report, PageLimits};
use prost::Message;

const SECOND: i64 = 1_000_000;

/// An event and the delay after which it is recorded.
struct Entry {
    at_us: i64,
    delay_us: i64,
    kind: Kind,
}

/// Returns an event that is recorded without a delay.
fn entry(second: i64, kind: Kind) -> Entry {
    Entry {
        at_us: second * SECOND,
        delay_us: 0,
        kind,
    }
}

fn write(directory: &Path, name: &str, entries: Vec<Entry>) {
    let mut frames = Vec::new();
    for (entry, seq) in entries.into_iter().zip(1..) {
        let record = Record {
            seq,
            at_us: entry.at_us,
            learned_us: entry.at_us + entry.delay_us,
            kind: Some(entry.kind),
        };
        assert!(frame::put(&mut frames, &record.encode_to_vec()));
    }
    let mut store = Store::open(directory, name).expect("a store");
    store.append(&frames, 1, 0).expect("an append");
}

fn state(server: &str, state: pb::State) -> Kind {
    let (server, zone) = (server.to_string(), "a".to_string());
    Kind::StateChanged(pb::StateChanged {
        server,
        zone,
        state: state.into(),
        ..pb::StateChanged::default()
    })
}

fn gauge(refused: f64) -> Kind {
    Kind::Gauge(pb::Gauge {
        waiting: 12.0,
        refused,
        streams: 4,
        levels: vec![1.0 - refused],
        ..pb::Gauge::default()
    })
}

fn started() -> Kind {
    Kind::Started(pb::Started {
        version: "9.9".into(),
        classes: vec!["lookup".into()],
        ..pb::Started::default()
    })
}

fn seconds(from: i64, to: i64) -> Vec<Entry> {
    let kind = |second: i64| {
        if (20..30).contains(&second) {
            gauge(0.6)
        } else {
            gauge(0.0)
        }
    };
    (from..to)
        .map(|second| entry(second, kind(second)))
        .collect()
}

fn open(directory: &Path) -> Timeline {
    Timeline::open(&[PathBuf::from(directory)]).expect("records")
}

/// Returns the texts of all events and gaps on the page, in order.
fn rows(page: &str) -> Vec<&str> {
    let events = page
        .split("class=\"events\"")
        .nth(1)
        .expect("the list of events");
    let rows = events.split("</tr>").filter(|row| row.contains("<td>"));
    rows.filter_map(|row| row.rsplit("<td>").next()?.split("</td>").next())
        .collect()
}

#[test]
fn events_are_ordered_by_time_and_gaps_are_listed() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut first = vec![entry(0, started())];
    first.extend(seconds(0, 40));
    first.push(Entry {
        delay_us: 15 * SECOND,
        ..entry(25, state("s-1", pb::State::Withdrawn))
    });
    write(&directory.path().join("n0"), "n0", first);
    let mut second = vec![entry(60, started())];
    second.extend(seconds(60, 90));
    write(&directory.path().join("n0"), "n0", second);
    let other = vec![
        entry(26, state("s-2", pb::State::Reduced)),
        entry(28, state("s-2", pb::State::Full)),
    ];
    write(&directory.path().join("n1"), "n1", other);
    let window = Window {
        from_us: 0,
        to_us: 90 * SECOND,
    };
    let page = report(&open(directory.path()), window, PageLimits::default());
    let rows = rows(&page);
    let order: Vec<&str> = rows
        .iter()
        .map(|row| row.split(',').next().unwrap_or_default())
        .collect();
    let crash = "crash for 20.0 s";
    assert!(order.contains(&crash), "{order:?}");
    let position = |text: &str| {
        rows.iter()
            .position(|row| row.starts_with(text))
            .unwrap_or_else(|| panic!("{text}: {rows:?}"))
    };
    assert!(
        position("s-1 withdrawn") < position("s-2 reduced")
            && position("s-2 full") < position(crash),
        "{rows:?}"
    );
    assert!(page.contains("+15.0 s"), "when it was learned");
    assert!(
        page.contains("Withdrawn for a time: <b>s-1</b>") && page.contains("<b>60 %</b>"),
        "the sentences"
    );
    assert!(page.contains("An incident began at <b>00:00:25.000</b>"));
    assert!(
        page.matches("class=\"hatch\"").count() >= 6,
        "in every chart"
    );
    assert!(page.contains("--from 1970-01-01T00:00:00.000Z --to 1970-01-01T00:01:30.000Z"));
}

/// Names in records come from peers and must not run as scripts in the browser.
#[test]
fn text_from_records_is_escaped_and_nothing_is_loaded() {
    let directory = tempfile::tempdir().expect("a directory");
    let hostile = "<script>alert(1)</script>\"'&</svg>";
    let entries = vec![
        entry(0, started()),
        entry(1, state(hostile, pb::State::Withdrawn)),
        entry(
            2,
            Kind::StreamLeft(pb::StreamLeft {
                reason: hostile.into(),
                ..Default::default()
            }),
        ),
    ];
    write(directory.path(), "<b>n0</b>", entries);
    let page = report(
        &open(directory.path()),
        Window {
            from_us: 0,
            to_us: 3 * SECOND,
        },
        PageLimits::default(),
    );
    assert!(
        !page.contains("<script") && !page.contains("<b>n0") && page.contains("&lt;script&gt;")
    );
    for reference in ["http:", "https:", "src=", "@import", "url(\"", "<link"] {
        assert!(!page.contains(reference), "{reference}");
    }
}

/// Without limits, the page of a long day would be too large for a browser.
#[test]
fn events_beyond_the_limits_are_counted() {
    let directory = tempfile::tempdir().expect("a directory");
    let joined = |proxy| {
        Kind::StreamJoined(pb::StreamJoined {
            proxy,
            zone: "a".into(),
            ..Default::default()
        })
    };
    let entries = (0..30_000u32)
        .map(|proxy| entry(proxy.into(), joined(proxy)))
        .collect();
    write(directory.path(), "n0", entries);
    let window = Window {
        from_us: 0,
        to_us: 30_000 * SECOND,
    };
    let limits = PageLimits {
        other_events: 100,
        ..PageLimits::default()
    };
    let findings = gather(&open(directory.path()), window, limits);
    assert_eq!(
        (
            findings.events.len(),
            findings.omitted["joined"],
            findings.records
        ),
        (100, 29_900, 30_000)
    );
    let page = report(&open(directory.path()), window, limits);
    assert!(
        page.contains("29900 joined") && page.len() < 200_000,
        "{}",
        page.len()
    );
}

#[test]
fn the_report_of_a_window_without_faults_says_so() {
    let directory = tempfile::tempdir().expect("a directory");
    write(directory.path(), "n0", seconds(0, 15));
    let page = report(
        &open(directory.path()),
        Window {
            from_us: 0,
            to_us: 14 * SECOND,
        },
        PageLimits::default(),
    );
    assert!(page.contains("No fault was recorded") && page.contains("The records have no gap."));
}

/// Returns the service level in a second of the records.
fn service_level(second: i64) -> &'static str {
    if (20..50).contains(&second) {
        "fewer reads"
    } else {
        "full"
    }
}

fn service_level_change(second: i64) -> Kind {
    let level = service_level(second);
    Kind::ServiceLevel(pb::ServiceLevel {
        from: service_level(second - 1).into(),
        to: level.into(),
        number: u32::from(level != "full"),
        reason: "entered".into(),
        condition: "SATURATION above 0.6 for 2 s".into(),
        signals: vec![pb::Signal {
            name: "SATURATION".into(),
            value: Some(0.71),
            age_ms: 1500,
        }],
        tell: vec!["desk <b>".into()],
    })
}

/// Returns a start, a gauge each second and the changes of the service level.
fn service_level_records() -> Vec<Entry> {
    let mut entries = vec![entry(0, started())];
    for second in 0..80 {
        if service_level(second) != service_level(second - 1) {
            entries.push(entry(second, service_level_change(second)));
        }
        let gauge = pb::Gauge {
            service_level: Some(service_level(second).to_string()),
            levels: vec![1.0],
            ..pb::Gauge::default()
        };
        entries.push(entry(second, Kind::Gauge(gauge)));
    }
    entries
}

/// Service levels are charted with their names, and each change is listed as an event with its cause.
#[test]
fn service_levels_are_charted_with_their_names() {
    let directory = tempfile::tempdir().expect("a directory");
    write(&directory.path().join("n0"), "n0", service_level_records());
    let window = Window {
        from_us: 0,
        to_us: 80 * SECOND,
    };
    let page = report(&open(directory.path()), window, PageLimits::default());
    assert!(
        page.contains("Levels of service") && page.contains(">fewer reads</text>"),
        "no band"
    );
    let rows = rows(&page);
    let change = rows
        .iter()
        .find(|row| row.contains("service level fewer reads after full"))
        .expect("the change");
    assert!(
        change.contains(
            "SATURATION above 0.6 for 2 s; SATURATION 0.71 1.5 s ago; notify desk &lt;b&gt;"
        ),
        "{change}"
    );
    assert!(
        page.contains("service reduced to fewer reads"),
        "the summary"
    );
}
