#![allow(missing_docs)]
//! Compares the wheel queue with a binary heap on the recorded operations of a run, and measures the speed of whole runs.

use std::cell::RefCell;
use std::hint::black_box;
use std::time::Instant;

use chutegrade_model::queue::{EventQueue, HeapQueue, WheelQueue};
use chutegrade_model::scenario::read;
use chutegrade_model::sim::{run_on, Event};
use chutegrade_model::{run, Control, Scenario, Setup};

/// Rounds of each measurement; the fastest counts.
const ROUNDS: usize = 5;

/// A fleet of `scale` times 325 servers, 1,057 proxies and 2,800 requests per second.
fn scaled_fleet(scale: f64, seconds: u32) -> Scenario {
    let scaled = |count: f64| (count * scale).round().max(1.0);
    let text = format!(
        "seconds: {seconds} zone: 'a' zone: 'b' zone: 'c'\n\
         kind {{ name: 'f' servers: {} cores: 2 speed: 1.5 }} kind {{ name: 's' servers: {} cores: 3 speed: 0.95 }}\n\
         class {{ name: 'read' share: 57 work_ms: 130 aim_ms: 600 deadline_ms: 2000 worth: 2 }}\n\
         class {{ name: 'file' share: 26 work_ms: 340 aim_ms: 1500 deadline_ms: 5000 worth: 5 effect: KEYED }}\n\
         class {{ name: 'order' share: 17 work_ms: 130 aim_ms: 750 deadline_ms: 2500 worth: 3 effect: UNSAFE }}\n\
         load {{ rate: {} }} front_ends {{ count: {} }} supervisors {{ count: 4 }}",
        scaled(185.0),
        scaled(140.0),
        2800.0 * scale,
        scaled(1057.0),
    );
    read(&text).unwrap_or_else(|errors| panic!("{errors:?}"))
}

#[derive(Clone, Copy)]
enum Step {
    Push(u64),
    Pop,
}

/// Records the operations on the queue that it wraps.
struct RecordingQueue {
    inner: WheelQueue<Event>,
    steps: RefCell<Vec<Step>>,
}

impl EventQueue<Event> for RecordingQueue {
    fn push(&mut self, at: u64, event: Event) {
        self.steps.borrow_mut().push(Step::Push(at));
        self.inner.push(at, event);
    }
    fn pop(&mut self) -> Option<(u64, Event)> {
        self.steps.borrow_mut().push(Step::Pop);
        self.inner.pop()
    }
    fn len(&self) -> usize {
        self.inner.len()
    }
}

/// Returns the nanoseconds per operation in the fastest round.
fn replay<Q: EventQueue<[u64; 3]>>(steps: &[Step], new_queue: impl Fn() -> Q) -> f64 {
    let run_once = || {
        let mut queue = new_queue();
        let start = Instant::now();
        for step in steps {
            match step {
                Step::Push(at) => queue.push(*at, [*at; 3]),
                Step::Pop => drop(black_box(queue.pop())),
            }
        }
        start.elapsed().as_nanos() as f64 / steps.len() as f64
    };
    (0..ROUNDS)
        .map(|_| run_once())
        .fold(f64::INFINITY, f64::min)
}

fn resident_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap_or("0");
    line.split_whitespace()
        .next()
        .and_then(|kib| kib.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

/// Draws the computation time of a simulated second by fleet size, both on logarithmic scales, as SVG, with the exponent.
fn scaling_chart(points: &[(f64, f64)]) -> String {
    let ((first, low), (last, high)) = (points[0], points[points.len() - 1]);
    let exponent = (high / low).ln() / (last / first).ln();
    let x = |size: f64| 60.0 + 520.0 * (size / first).ln() / (last / first).ln();
    let y = |cost: f64| 260.0 - 220.0 * (cost / low).ln() / (high / low).ln();
    let point_svg = |(size, cost): &(f64, f64)| {
        let (x, y) = (x(*size), y(*cost));
        format!(
            "<circle cx='{x:.0}' cy='{y:.0}' r='4' fill='#2f6db3'/>\
             <text x='{x:.0}' y='{:.0}' text-anchor='middle'>{cost:.4}</text>\
             <text x='{x:.0}' y='285' text-anchor='middle'>{size}</text>\n",
            y - 10.0
        )
    };
    let line: Vec<String> = points
        .iter()
        .map(|(size, cost)| format!("{:.0},{:.0}", x(*size), y(*cost)))
        .collect();
    format!(
        "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 640 320' font-family='sans-serif' font-size='11'>\n\
         <rect width='640' height='320' fill='white'/>\n\
         <text x='60' y='18' font-size='13'>Computation time of a simulated second, in seconds; proportional to the size to the power of {exponent:.2}</text>\n\
         <polyline fill='none' stroke='#2f6db3' points='{}'/>\n{}\
         <text x='320' y='308' text-anchor='middle'>scale of the fleet: 1 is 325 servers, 1,057 proxies, 2,800 requests/s</text>\n</svg>\n",
        line.join(" "),
        points.iter().map(point_svg).collect::<String>()
    )
}

/// Measures only under `cargo bench`: `cargo test` runs benches without `--bench`.
fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    for scale in [0.1, 1.0] {
        let recording = RecordingQueue {
            inner: WheelQueue::default(),
            steps: RefCell::default(),
        };
        let (_, recording) = run_on(&scaled_fleet(scale, 10), &Setup::default(), 1, recording);
        let steps = recording.steps.into_inner();
        let (heap, wheel) = (
            replay(&steps, HeapQueue::default),
            replay(&steps, WheelQueue::default),
        );
        let ratio = heap / wheel;
        println!("{scale:>4} of the full fleet, {} operations: heap {heap:.1} ns, wheel {wheel:.1} ns, ratio {ratio:.2}", steps.len());
    }
    let mut points = Vec::new();
    for scale in [0.01, 0.03, 0.1, 0.3, 1.0, 2.0, 6.0, 9.5] {
        let seconds = if scale > 1.0 { 10 } else { 30 };
        let scenario = scaled_fleet(scale, seconds);
        let start = Instant::now();
        let outcome = run(&scenario, Control::Module, 1);
        let elapsed_s = start.elapsed().as_secs_f64();
        if scale >= 0.1 {
            points.push((scale, elapsed_s / f64::from(seconds)));
        }
        println!(
            "scale {scale:>5}: {} servers, {} proxies, {:.0} requests/s: {:.1} times real time, {:.2} M events/s, service {:.3}, {} rules broken, peak memory {:.0} MiB",
            scenario.servers(),
            scenario.proxies,
            scenario.rate,
            f64::from(seconds) / elapsed_s,
            outcome.events as f64 / elapsed_s / 1e6,
            outcome.service(),
            outcome.figure("rules"),
            resident_mib(),
        );
    }
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../target/scale.svg");
    match std::fs::write(path, scaling_chart(&points)) {
        Ok(()) => println!("wrote target/scale.svg"),
        Err(error) => println!("cannot write target/scale.svg: {error}"),
    }
}
