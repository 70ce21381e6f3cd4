//! Frames of the console over real directories: what is known is shown, what is not is hatched, at every size and after
//! every key.

use std::fs;
use std::path::{Path, PathBuf};

use chutegrade_console::{frame, App, Flow};
use chutegrade_records::pb::{self, Record};
use chutegrade_records::store::Store;
use chutegrade_records::{frame as framing, Kind};
use prost::Message;
use ratatui::crossterm::event::{KeyCode, KeyEvent, KeyModifiers};

const SECOND: i64 = 1_000_000;

fn server(name: &str, zone: &str, state: pb::State, warmth: f64) -> pb::Server {
    let (name, zone) = (name.to_string(), zone.to_string());
    pb::Server {
        name,
        zone,
        state: state.into(),
        score: 0.4,
        warmth,
        weight: 1.0,
        ..pb::Server::default()
    }
}

/// A minute of a start: a server that is shut out from the 20th to the 40th second, a zone cut from the 30th.
fn minute(from_s: i64) -> Vec<Record> {
    let classes = vec!["lookup".to_string()];
    let mut kinds = vec![(
        0,
        Kind::Started(pb::Started {
            classes,
            ..pb::Started::default()
        }),
    )];
    for second in 0..60 {
        let refused = if (30..40).contains(&second) { 0.5 } else { 0.0 };
        let gauge = pb::Gauge {
            waiting: 40.0,
            refused,
            streams: 3,
            levels: vec![1.0 - refused],
            ..pb::Gauge::default()
        };
        kinds.push((second, Kind::Gauge(gauge)));
        let state = |state: pb::State| {
            let (server, zone) = ("s-b1".to_string(), "b".to_string());
            Kind::StateChanged(pb::StateChanged {
                server,
                zone,
                state: state.into(),
                ..pb::StateChanged::default()
            })
        };
        match second {
            20 => kinds.push((second, state(pb::State::Withdrawn))),
            30 => kinds.push((
                second,
                Kind::ZoneCut(pb::ZoneCut {
                    zone: "b".into(),
                    cut: true,
                    mute: 1.0,
                }),
            )),
            40 => kinds.push((second, state(pb::State::Full))),
            _ => {}
        }
        if second % 10 == 0 {
            let out = if (20..40).contains(&second) {
                pb::State::Withdrawn
            } else {
                pb::State::Full
            };
            let servers = vec![
                server("s-a1", "a", pb::State::Full, 1.0),
                server("s-a2", "a", pb::State::Reduced, 1.0),
                server("s-b1", "b", out, 1.0),
                server("s-b2", "b", pb::State::Full, 0.5),
            ];
            kinds.push((
                second,
                Kind::Fleet(pb::Fleet {
                    servers,
                    ..pb::Fleet::default()
                }),
            ));
        }
    }
    let at = |second| (from_s + second) * SECOND;
    let record = |((second, kind), seq)| Record {
        seq,
        at_us: at(second),
        learned_us: at(second),
        kind: Some(kind),
    };
    kinds.into_iter().zip(1..).map(record).collect()
}

fn write(directory: &Path, name: &str, records: &[Record]) {
    let mut frames = Vec::new();
    records
        .iter()
        .for_each(|record| assert!(framing::put(&mut frames, &record.encode_to_vec())));
    let mut store = Store::open(directory, name).expect("a store");
    store.append(&frames, 1, 0).expect("an append");
}

/// Two supervisors; the first died after its minute and began again 30 s later.
fn records() -> (tempfile::TempDir, Vec<PathBuf>) {
    let directory = tempfile::tempdir().expect("a directory");
    write(&directory.path().join("n0"), "n0", &minute(1000));
    write(&directory.path().join("n0"), "n0", &minute(1090));
    write(&directory.path().join("n1"), "n1", &minute(1000));
    let given = vec![directory.path().to_path_buf()];
    (directory, given)
}

fn at(given: &[PathBuf], second: i64) -> App {
    let mut app = App::open(given, Some(second * SECOND)).expect("records");
    app.look(0);
    app
}

fn text(app: &App, width: u16, height: u16) -> String {
    frame(app, width, height).join("\n")
}

fn press(app: &mut App, code: KeyCode) -> Flow {
    let flow = app.key(KeyEvent::new(code, KeyModifiers::NONE));
    app.look(0);
    flow
}

#[test]
fn the_fleet_is_shown_as_it_stood() {
    let (_kept, given) = records();
    let shown = text(&at(&given, 1035), 160, 40);
    for wanted in [
        "PAST",
        "n0 · start 1",
        "n1 · start 1",
        "zone b CUT",
        "✕",
        "▼",
        "❄",
        "lookup 50%",
        "s-b1",
        "withdrawn",
    ] {
        assert!(shown.contains(wanted), "{wanted}\n{shown}");
    }
    assert!(
        shown.contains("s-b1 withdrawn, score"),
        "the event\n{shown}"
    );
    let before = text(&at(&given, 1015), 160, 40);
    assert!(!before.contains('✕') && !before.contains("CUT"), "{before}");
}

#[test]
fn a_gap_is_seen_as_a_gap() {
    let (_kept, given) = records();
    let within = text(&at(&given, 1080), 160, 40);
    assert!(
        within.contains("not known: crash") && within.contains('░'),
        "{within}"
    );
    assert!(within.contains("--- crash for"), "{within}");
    let after = text(&at(&given, 1120), 160, 40);
    assert!(
        after.contains("n0 · start 2") && !after.contains("not known: crash"),
        "{after}"
    );
    // The other supervisor's records have ended: what it held then is not shown as if it held now.
    assert!(after.contains("not known: no record since"), "{after}");
}

#[test]
fn every_size_and_key_leaves_a_frame() {
    let (_kept, given) = records();
    for (width, height) in [(1, 1), (10, 3), (40, 12), (80, 24), (84, 26), (300, 90)] {
        let mut app = at(&given, 1045);
        let keys = [
            KeyCode::Tab,
            KeyCode::Up,
            KeyCode::PageUp,
            KeyCode::Char('?'),
            KeyCode::Char('x'),
            KeyCode::Tab,
        ];
        let more = [
            KeyCode::Left,
            KeyCode::Right,
            KeyCode::Home,
            KeyCode::Char('n'),
            KeyCode::Char('p'),
            KeyCode::Char('-'),
        ];
        for code in keys.into_iter().chain(more).chain([
            KeyCode::Char('+'),
            KeyCode::Char(' '),
            KeyCode::End,
        ]) {
            assert_ne!(press(&mut app, code), Flow::End);
            assert_eq!(
                frame(&app, width, height).len(),
                usize::from(height),
                "{width}x{height} {code:?}"
            );
        }
    }
    let small = text(&at(&given, 1035), 40, 12);
    assert!(
        small.contains("zone b CUT") && small.contains("? help"),
        "{small}"
    );
}

#[test]
fn keys_move_through_time_and_filter_events() {
    let (_kept, given) = records();
    let mut app = at(&given, 1010);
    press(&mut app, KeyCode::Char('n'));
    assert_eq!(app.cursor, Some(1020 * SECOND), "the first trouble");
    press(&mut app, KeyCode::Char('n'));
    assert_eq!(app.cursor, Some(1030 * SECOND));
    press(&mut app, KeyCode::Char('p'));
    assert_eq!(app.cursor, Some(1020 * SECOND));
    press(&mut app, KeyCode::Right);
    assert_eq!(
        app.cursor,
        Some(1035 * SECOND),
        "a twentieth of five minutes"
    );
    press(&mut app, KeyCode::Home);
    assert_eq!(app.cursor, Some(1000 * SECOND));
    app = at(&given, 1055);
    let all = app.view.rows.len();
    press(&mut app, KeyCode::Char('/'));
    "cut n1"
        .chars()
        .for_each(|c| assert_ne!(press(&mut app, KeyCode::Char(c)), Flow::End));
    press(&mut app, KeyCode::Enter);
    assert_eq!(
        (app.view.rows.len(), all > 1),
        (1, true),
        "{:?}",
        app.view.rows
    );
    assert_eq!(press(&mut app, KeyCode::Char('q')), Flow::End);
}

/// Danger: a console left open over a night ends when the records below it are trimmed or moved.
#[test]
fn a_directory_that_grows_or_goes_is_followed() {
    let (kept, given) = records();
    let mut app = at(&given, 1200);
    let before = app.view.rows.len();
    write(&kept.path().join("n1"), "n1", &minute(1120));
    app.look(0);
    assert!(app.view.rows.len() > before, "it grew");
    fs::remove_dir_all(kept.path().join("n0")).expect("its end");
    app.look(0);
    assert!(text(&app, 120, 40).contains("n1 · start 2"));
}

#[test]
fn text_from_records_moves_no_cursor() {
    let directory = tempfile::tempdir().expect("a directory");
    let life = pb::LifeChanged {
        server: "s\u{1b}[2J\r\n1".into(),
        life: 1,
        ..pb::LifeChanged::default()
    };
    let record = Record {
        seq: 1,
        at_us: SECOND,
        learned_us: SECOND,
        kind: Some(Kind::LifeChanged(life)),
    };
    write(directory.path(), "n0", &[record]);
    let app = at(&[directory.path().to_path_buf()], 1);
    assert!(!text(&app, 120, 40).contains('\u{1b}'));
}

/// The level of service has its name, its time, its signals, and a band with the name once it has changed.
#[test]
fn levels_of_service_are_shown_with_names() {
    let directory = tempfile::tempdir().expect("a directory");
    let level = |second: i64| {
        if (20..45).contains(&second) {
            "fewer reads"
        } else {
            "full"
        }
    };
    let gauge = |second: i64| {
        Kind::Gauge(pb::Gauge {
            service_level: Some(level(second).into()),
            level_since_us: (1000 + if second < 20 { 0 } else { 20 }) * SECOND,
            signals: vec![pb::Signal {
                name: "SATURATION".into(),
                value: Some(0.42),
                age_ms: 2500,
            }],
            levels: vec![1.0],
            ..pb::Gauge::default()
        })
    };
    let record = |second: i64| Record {
        seq: second as u64 + 1,
        at_us: (1000 + second) * SECOND,
        learned_us: (1000 + second) * SECOND,
        kind: Some(gauge(second)),
    };
    let all: Vec<Record> = (0..60).map(record).collect();
    write(&directory.path().join("n0"), "n0", &all);
    let given = vec![directory.path().to_path_buf()];
    let shown = text(&at(&given, 1040), 160, 40);
    assert!(
        shown.contains("service fewer reads for 20.0 s  SATURATION 0.42 2.5 s ago"),
        "{shown}"
    );
    let band = shown
        .lines()
        .find(|line| line.starts_with("levels "))
        .expect("a band");
    assert!(
        band.contains('░') && band.contains('─') && band.contains("fewer"),
        "{band}"
    );
    let calm = text(&at(&given, 1015), 160, 40);
    assert!(
        calm.contains("service full") && !calm.lines().any(|line| line.starts_with("levels ")),
        "{calm}"
    );
}
