#![allow(missing_docs)]
//! The queue made for the job against a heap, on the pushes and pops of a recorded run; and how fast whole runs go.

use std::cell::RefCell;
use std::hint::black_box;
use std::time::Instant;

use chutegrade_model::queue::{Plain, Queue, Wheel};
use chutegrade_model::scenario::read;
use chutegrade_model::sim::{run_on, Event};
use chutegrade_model::{run, Control, Scenario, Setup};

/// Rounds of each measurement; the best counts.
const ROUNDS: usize = 5;

/// The fleet to come, in round figures: 325 servers, 1,057 front ends, 2,800 requests a second.
fn grown(times: f64, seconds: u32) -> Scenario {
    let of = |count: f64| (count * times).round().max(1.0);
    let text = format!(
        "seconds: {seconds} zone: 'a' zone: 'b' zone: 'c'\n\
         kind {{ name: 'f' servers: {} cores: 2 speed: 1.5 }} kind {{ name: 's' servers: {} cores: 3 speed: 0.95 }}\n\
         class {{ name: 'read' share: 57 work_ms: 130 aim_ms: 600 deadline_ms: 2000 worth: 2 }}\n\
         class {{ name: 'file' share: 26 work_ms: 340 aim_ms: 1500 deadline_ms: 5000 worth: 5 effect: KEYED }}\n\
         class {{ name: 'order' share: 17 work_ms: 130 aim_ms: 750 deadline_ms: 2500 worth: 3 effect: UNSAFE }}\n\
         load {{ rate: {} }} front_ends {{ count: {} }} supervisors {{ count: 4 }}",
        of(185.0),
        of(140.0),
        2800.0 * times,
        of(1057.0),
    );
    read(&text).unwrap_or_else(|faults| panic!("{faults:?}"))
}

#[derive(Clone, Copy)]
enum Step {
    Push(u64),
    Pop,
}

/// Tells what is done to the queue within it.
struct Taped {
    inner: Wheel<Event>,
    steps: RefCell<Vec<Step>>,
}

impl Queue<Event> for Taped {
    fn push(&mut self, at: u64, what: Event) {
        self.steps.borrow_mut().push(Step::Push(at));
        self.inner.push(at, what);
    }
    fn pop(&mut self) -> Option<(u64, Event)> {
        self.steps.borrow_mut().push(Step::Pop);
        self.inner.pop()
    }
    fn len(&self) -> usize {
        self.inner.len()
    }
}

/// Nanoseconds of a step, at best.
fn replay<Q: Queue<[u64; 3]>>(steps: &[Step], make: impl Fn() -> Q) -> f64 {
    let once = || {
        let mut queue = make();
        let begun = Instant::now();
        for step in steps {
            match step {
                Step::Push(at) => queue.push(*at, [*at; 3]),
                Step::Pop => drop(black_box(queue.pop())),
            }
        }
        begun.elapsed().as_nanos() as f64 / steps.len() as f64
    };
    (0..ROUNDS).map(|_| once()).fold(f64::INFINITY, f64::min)
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

/// Seconds of work for a simulated second by size, both on logarithmic scales, as a picture; and the exponent.
fn chart(points: &[(f64, f64)]) -> String {
    let ((first, low), (last, high)) = (points[0], points[points.len() - 1]);
    let exponent = (high / low).ln() / (last / first).ln();
    let x = |size: f64| 60.0 + 520.0 * (size / first).ln() / (last / first).ln();
    let y = |cost: f64| 260.0 - 220.0 * (cost / low).ln() / (high / low).ln();
    let dot = |(size, cost): &(f64, f64)| {
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
         <text x='60' y='18' font-size='13'>Seconds of work for a simulated second; grows with the size to the power of {exponent:.2}</text>\n\
         <polyline fill='none' stroke='#2f6db3' points='{}'/>\n{}\
         <text x='320' y='308' text-anchor='middle'>times the grown fleet: 325 servers, 1,057 front ends, 2,800 requests/s</text>\n</svg>\n",
        line.join(" "),
        points.iter().map(dot).collect::<String>()
    )
}

/// Measures under `cargo bench` alone.
fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    for times in [0.1, 1.0] {
        let tape = Taped {
            inner: Wheel::default(),
            steps: RefCell::default(),
        };
        let (_, tape) = run_on(&grown(times, 10), &Setup::default(), 1, tape);
        let steps = tape.steps.into_inner();
        let (heap, wheel) = (
            replay(&steps, Plain::default),
            replay(&steps, Wheel::default),
        );
        let ratio = heap / wheel;
        println!("{times:>4} of the grown fleet, {} steps: heap {heap:.1} ns, wheel {wheel:.1} ns, {ratio:.2} times", steps.len());
    }
    let mut points = Vec::new();
    for times in [0.01, 0.03, 0.1, 0.3, 1.0, 2.0, 6.0, 9.5] {
        let seconds = if times > 1.0 { 10 } else { 30 };
        let scenario = grown(times, seconds);
        let begun = Instant::now();
        let outcome = run(&scenario, Control::Module, 1);
        let took = begun.elapsed().as_secs_f64();
        if times >= 0.1 {
            points.push((times, took / f64::from(seconds)));
        }
        println!(
            "{times:>5} times: {} servers, {} front ends, {:.0} requests/s: {:.1} times real time, {:.2} M events/s, service {:.3}, {} rules, {:.0} MiB at most",
            scenario.servers(),
            scenario.proxies,
            scenario.rate,
            f64::from(seconds) / took,
            outcome.events as f64 / took / 1e6,
            outcome.service(),
            outcome.figure("rules"),
            resident_mib(),
        );
    }
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../target/scale.svg");
    match std::fs::write(path, chart(&points)) {
        Ok(()) => println!("target/scale.svg is written"),
        Err(fault) => println!("target/scale.svg cannot be written: {fault}"),
    }
}
