//! Frames of the console over directories of records, at several sizes and after each key.

use std::fs;
use std::path::{Path, PathBuf};

use chutegrade_console::{frame_lines, App, KeyOutcome};
use chutegrade_records::pb::{self, Record};
use chutegrade_records::store::Store;
use chutegrade_records::{frame as framing, Kind};
use prost::Message;
use ratatui::crossterm::event::{KeyCode, KeyEvent, KeyModifiers};

const SECOND: i64 = 1_000_000;

fn server(name: &str, zone: &str, state: pb::State, warmth: f64) -> pb::Server {
    pb::Server {
        name: name.to_string(),
        zone: zone.to_string(),
        state: state.into(),
        score: 0.4,
        warmth,
        weight: 1.0,
        ..pb::Server::default()
    }
}

/// Returns the records of a minute: a server is withdrawn from second 20 to 40, a zone is partitioned from second 30 on.
fn minute_of_records(from_s: i64) -> Vec<Record> {
    let mut kinds = vec![(0, started())];
    for second in 0..60 {
        kinds.push((second, gauge(second)));
        kinds.extend(state_change(second).map(|kind| (second, kind)));
        if second % 10 == 0 {
            kinds.push((second, fleet(second)));
        }
    }
    let numbered = kinds.into_iter().zip(1..);
    numbered
        .map(|((second, kind), seq)| record(seq, from_s + second, kind))
        .collect()
}

fn record(seq: u64, second: i64, kind: Kind) -> Record {
    Record {
        seq,
        at_us: second * SECOND,
        learned_us: second * SECOND,
        kind: Some(kind),
    }
}

fn started() -> Kind {
    Kind::Started(pb::Started {
        classes: vec!["lookup".to_string()],
        ..pb::Started::default()
    })
}

fn gauge(second: i64) -> Kind {
    let refused = if (30..40).contains(&second) { 0.5 } else { 0.0 };
    Kind::Gauge(pb::Gauge {
        waiting: 40.0,
        refused,
        streams: 3,
        levels: vec![1.0 - refused],
        ..pb::Gauge::default()
    })
}

/// Returns the change of state in a second of the minute, if any.
fn state_change(second: i64) -> Option<Kind> {
    match second {
        20 => Some(state_changed(pb::State::Withdrawn)),
        30 => Some(Kind::ZoneCut(pb::ZoneCut {
            zone: "b".into(),
            cut: true,
            mute: 1.0,
        })),
        40 => Some(state_changed(pb::State::Full)),
        _ => None,
    }
}

fn state_changed(state: pb::State) -> Kind {
    Kind::StateChanged(pb::StateChanged {
        server: "s-b1".to_string(),
        zone: "b".to_string(),
        state: state.into(),
        ..pb::StateChanged::default()
    })
}

fn fleet(second: i64) -> Kind {
    let changing = if (20..40).contains(&second) {
        pb::State::Withdrawn
    } else {
        pb::State::Full
    };
    let servers = vec![
        server("s-a1", "a", pb::State::Full, 1.0),
        server("s-a2", "a", pb::State::Reduced, 1.0),
        server("s-b1", "b", changing, 1.0),
        server("s-b2", "b", pb::State::Full, 0.5),
    ];
    Kind::Fleet(pb::Fleet {
        servers,
        ..pb::Fleet::default()
    })
}

fn write_records(directory: &Path, name: &str, records: &[Record]) {
    let mut frames = Vec::new();
    records
        .iter()
        .for_each(|record| assert!(framing::put(&mut frames, &record.encode_to_vec())));
    let mut store = Store::open(directory, name).expect("a store");
    store.append(&frames, 1, 0).expect("an append");
}

/// Writes records of two supervisors. The first crashes after a minute and restarts 30 s later.
fn records() -> (tempfile::TempDir, Vec<PathBuf>) {
    let directory = tempfile::tempdir().expect("a directory");
    write_records(&directory.path().join("n0"), "n0", &minute_of_records(1000));
    write_records(&directory.path().join("n0"), "n0", &minute_of_records(1090));
    write_records(&directory.path().join("n1"), "n1", &minute_of_records(1000));
    let directories = vec![directory.path().to_path_buf()];
    (directory, directories)
}

fn app_at(directories: &[PathBuf], second: i64) -> App {
    let mut app = App::open(directories, Some(second * SECOND)).expect("records");
    app.refresh(0);
    app
}

fn text(app: &App, width: u16, height: u16) -> String {
    frame_lines(app, width, height).join("\n")
}

fn press(app: &mut App, code: KeyCode) -> KeyOutcome {
    let outcome = app.handle_key(KeyEvent::new(code, KeyModifiers::NONE));
    app.refresh(0);
    outcome
}

#[test]
fn the_fleet_is_shown_at_the_cursor() {
    let (_directory, directories) = records();
    let shown = text(&app_at(&directories, 1035), 160, 40);
    for expected in [
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
        assert!(shown.contains(expected), "{expected}\n{shown}");
    }
    assert!(
        shown.contains("s-b1 withdrawn, score"),
        "the event\n{shown}"
    );
    let before = text(&app_at(&directories, 1015), 160, 40);
    assert!(!before.contains('✕') && !before.contains("CUT"), "{before}");
}

#[test]
fn a_gap_is_hatched_and_listed() {
    let (_directory, directories) = records();
    let within = text(&app_at(&directories, 1080), 160, 40);
    assert!(
        within.contains("not known: crash") && within.contains('░'),
        "{within}"
    );
    assert!(within.contains("--- crash for"), "{within}");
    let after = text(&app_at(&directories, 1120), 160, 40);
    assert!(
        after.contains("n0 · start 2") && !after.contains("not known: crash"),
        "{after}"
    );
    // The other supervisor's records have ended: its last state is not shown as current.
    assert!(after.contains("not known: no record since"), "{after}");
}

#[test]
fn all_sizes_and_keys_draw_a_frame() {
    let (_directory, directories) = records();
    for (width, height) in [(1, 1), (10, 3), (40, 12), (80, 24), (84, 26), (300, 90)] {
        let mut app = app_at(&directories, 1045);
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
            assert_ne!(press(&mut app, code), KeyOutcome::Quit);
            assert_eq!(
                frame_lines(&app, width, height).len(),
                usize::from(height),
                "{width}x{height} {code:?}"
            );
        }
    }
    let small = text(&app_at(&directories, 1035), 40, 12);
    assert!(
        small.contains("zone b CUT") && small.contains("? help"),
        "{small}"
    );
}

#[test]
fn keys_move_the_cursor_and_filter_events() {
    let (_directory, directories) = records();
    let mut app = app_at(&directories, 1010);
    press(&mut app, KeyCode::Char('n'));
    assert_eq!(app.cursor, Some(1020 * SECOND), "the first fault");
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
    app = app_at(&directories, 1055);
    let all = app.view.rows.len();
    press(&mut app, KeyCode::Char('/'));
    "partitioned n1"
        .chars()
        .for_each(|c| assert_ne!(press(&mut app, KeyCode::Char(c)), KeyOutcome::Quit));
    press(&mut app, KeyCode::Enter);
    assert_eq!(
        (app.view.rows.len(), all > 1),
        (1, true),
        "{:?}",
        app.view.rows
    );
    assert_eq!(press(&mut app, KeyCode::Char('q')), KeyOutcome::Quit);
}

/// Records may be removed or moved while the console is open: it must show what it has read and not fail.
#[test]
fn new_records_are_shown_and_a_removed_directory_is_tolerated() {
    let (directory, directories) = records();
    let mut app = app_at(&directories, 1200);
    let before = app.view.rows.len();
    write_records(&directory.path().join("n1"), "n1", &minute_of_records(1120));
    app.refresh(0);
    assert!(app.view.rows.len() > before, "more rows");
    fs::remove_dir_all(directory.path().join("n0")).expect("removed");
    app.refresh(0);
    assert!(text(&app, 120, 40).contains("n1 · start 2"));
}

#[test]
fn control_characters_in_records_are_not_drawn() {
    let directory = tempfile::tempdir().expect("a directory");
    let life = pb::LifeChanged {
        server: "s\u{1b}[2J\r\n1".into(),
        life: 1,
        ..pb::LifeChanged::default()
    };
    let record = record(1, 1, Kind::LifeChanged(life));
    write_records(directory.path(), "n0", &[record]);
    let app = app_at(&[directory.path().to_path_buf()], 1);
    assert!(!text(&app, 120, 40).contains('\u{1b}'));
}

/// The service level is shown with its name, age and signals, and as a band if it changed within the span.
#[test]
fn service_levels_are_shown_by_name() {
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
    let record = |second: i64| record(second as u64 + 1, 1000 + second, gauge(second));
    let all: Vec<Record> = (0..60).map(record).collect();
    write_records(&directory.path().join("n0"), "n0", &all);
    let directories = vec![directory.path().to_path_buf()];
    let shown = text(&app_at(&directories, 1040), 160, 40);
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
    let unchanged = text(&app_at(&directories, 1015), 160, 40);
    assert!(
        unchanged.contains("service full")
            && !unchanged.lines().any(|line| line.starts_with("levels ")),
        "{unchanged}"
    );
}
