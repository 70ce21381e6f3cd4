//! Serving: wires the parts on one thread, ticks the decisions, and ends at SIGTERM.

pub mod hub;
pub mod overload;
pub mod plugins;
pub mod recording;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use chutegrade_engine::{DeploymentNames, Engine, Micros, Report, ReportSource};
use chutegrade_operator_config::{LogFormat, OperatorConfig};
use chutegrade_records::{kind, pb, text, Kind};
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle, LocalSet};

use crate::config::{self, Config, Reloaded, Source};
use crate::peers::discovery;
use crate::peers::health_check;
use crate::peers::health_check::Servers;
use crate::peers::listener;
use crate::peers::proxy_stream;
use crate::server::hub::Hub;
use crate::server::overload::{sentence, Limits};
use crate::server::plugins::Plugins;
use crate::server::recording::Book;

/// Time between two lines on dropped reports: a peer that names what is not known may do so a thousand times a second.
const DROPPED_EVERY: Duration = Duration::from_secs(10);
/// How long connections may take to leave their log lines once the supervisor stops, and all of its end with the last
/// records: SIGKILL follows no sooner than 0.7 s after SIGTERM.
const LAST_WORDS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(600));

/// Probes are spread over this share of the time to the next timer, so that their answers are there when it rings.
const PROBES_SPREAD: f64 = 0.5;

/// Serves until SIGTERM; a fault is one sentence and code 1.
pub fn main(operator: Option<&Path>) -> ExitCode {
    let path = operator;
    let begun = begin();
    let operator = path.map_or_else(
        || Ok(OperatorConfig::default()),
        chutegrade_operator_config::load,
    );
    log(operator
        .as_ref()
        .map_or(LogFormat::Plain, |operator| operator.log));
    let operator = operator.map_err(|faults| sentence(&faults));
    let served = begun.and_then(|(runtime, signals)| {
        let operator = operator?;
        let told = config::from_env().map_err(|fault| fault.to_string())?;
        LocalSet::new().block_on(&runtime, run(told, signals, &operator, path))
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            tracing::error!("chutegrade cannot run: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn log(format: LogFormat) {
    let level = std::env::var("LB_LOG")
        .ok()
        .and_then(|level| level.parse().ok())
        .unwrap_or(tracing::Level::INFO);
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false);
    let log = log.with_writer(std::io::stderr);
    match format {
        LogFormat::Plain => log.init(),
        LogFormat::Json => log
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .init(),
    }
}

/// The signals that the program heeds: SIGTERM and SIGHUP.
type Signals = (Signal, Signal);

/// The runtime, and the signals before all else: one that nobody handles ends the program. Danger: SIGHUP may come to a
/// process that has only begun to read its configuration.
fn begin() -> Result<(Runtime, Signals), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|fault| format!("no runtime: {fault}"))?;
    let entered = runtime.enter();
    let heed = |kind| signal(kind).map_err(|fault| format!("no signals: {fault}"));
    let signals = (heed(SignalKind::terminate())?, heed(SignalKind::hangup())?);
    drop(entered);
    Ok((runtime, signals))
}

/// Wires the parts, and ends at SIGTERM, or with what failed.
async fn run(
    (config, source): (Config, Source),
    (mut terminate, replaced): Signals,
    operator: &OperatorConfig,
    path: Option<&Path>,
) -> Result<(), String> {
    let listener = listener::bind(config.listen, config.settings.proxies)
        .map_err(|fault| format!("cannot listen at {}: {fault}", config.listen))?;
    let listen = listener
        .local_addr()
        .map_err(|fault| format!("no address: {fault}"))?;
    for doubt in config.doubts() {
        tracing::warn!(
            doubt,
            "the settings contradict themselves or leave this open"
        );
    }
    let reports = config.settings.report_source != ReportSource::None;
    let on_request = config.settings.endpoints_on_request;
    let silence = proxy_stream::silence(length(config.settings.report_period));
    let within = (
        length(Micros::from_ms(config.connect_ms)),
        health_check::answer_most(&config.settings.classes),
    );
    let servers = Servers::new(reports, within, length(config.settings.idle_timeout));
    let names = config.names;
    let period = config.settings.report_period;
    let mut engine = Engine::new(config.settings, config.seed, names);
    let limits = Rc::new(Limits::new(path, operator, &mut engine, period)?);
    let hub = Hub::new(engine);
    if let Some(records) = &operator.records {
        let book = Book::open(records, &config.name, hub.clock);
        hub.record(book.map_err(|fault| format!("no thread for the records: {fault}"))?);
        limits.restore(&hub, &recording::directory(records, &config.name));
    }
    let DeploymentNames { zones, classes, .. } = hub.engine().deployment_names();
    let version = env!("CARGO_PKG_VERSION").to_string();
    hub.note(Kind::Started(pb::Started {
        version,
        listen: listen.to_string(),
        zones,
        classes,
    }));
    let known = config.known.map(|(index, known)| {
        let entries = match &known {
            Report::EndpointList(_, entries) => entries.clone(),
            _ => Vec::new(),
        };
        hub.report(known);
        (index, entries)
    });
    let plugins = Rc::new(Plugins::new(operator.plugins.clone()));
    if !plugins.is_none() {
        plugins.load(&hub);
    }
    let between = length(Micros::from_ms(config.tick_ms));
    // The first tick comes before the first connection is accepted: whoever gets an answer finds a supervisor that
    // has begun with the list it last had.
    let ticking = tokio::task::spawn_local(ticks(
        hub.clone(),
        servers.clone(),
        (plugins.clone(), limits.clone()),
        between,
    ));
    let (moved, discovery) = watch::channel(config.discovery);
    let reloading = tokio::task::spawn_local(reloads(
        hub.clone(),
        replaced,
        source,
        moved,
        (plugins, limits),
    ));
    let list = discovery::List::new(hub.clone(), discovery, known, on_request);
    let listing = tokio::task::spawn_local(list.run());
    let serving = listener::serve(
        hub.clone(),
        listener,
        servers,
        config.limits.sockets,
        silence,
    );
    let serving = tokio::task::spawn_local(serving);
    let parts = [&ticking, &reloading, &listing, &serving].map(JoinHandle::abort_handle);
    tracing::info!(name = config.name, %listen, discovery = %config.discovery, "started");
    // None of the four ends while all is well; one that did would leave a supervisor that only seems to serve.
    tokio::select! {
        biased;
        _ = terminate.recv() => tracing::info!("stopping"),
        _ = ticking => return Err("the decisions have stopped".to_string()),
        _ = reloading => return Err("reading new configurations has stopped".to_string()),
        _ = listing => return Err("following the list has stopped".to_string()),
        _ = serving => return Err("accepting connections has stopped".to_string()),
    }
    let told = Instant::now();
    // From here on nothing is decided, asked or read anew, and nobody is let in: an order that nobody gets would stand in
    // the records, and a probe would cost its server work for nothing.
    parts.iter().for_each(AbortHandle::abort);
    hub.stopping.send_replace(true);
    hub.connections.close();
    let _ = tokio::time::timeout(LAST_WORDS.0, hub.connections.wait()).await;
    hub.note(Kind::Stopped(pb::Stopped {
        reason: "SIGTERM".to_string(),
    }));
    hub.close_book(LAST_WORDS.1.saturating_sub(told.elapsed()));
    Ok(())
}

/// Reads the configuration anew at each SIGHUP; signals that come while it reads count as one more.
async fn reloads(
    hub: Rc<Hub>,
    mut replaced: Signal,
    mut source: Source,
    moved: watch::Sender<SocketAddr>,
    (plugins, limits): (Rc<Plugins>, Rc<Limits>),
) {
    let note = |taken, detail| hub.note(Kind::Reloaded(pb::Reloaded { taken, detail }));
    while replaced.recv().await.is_some() {
        match source.reload() {
            Ok(Reloaded { discovery, later }) => {
                let later = later.join(",");
                tracing::info!(%discovery, restart_for = later, "reloaded");
                note(
                    true,
                    format!("discovery at {discovery}, waiting for a restart: [{later}]"),
                );
                moved
                    .send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
            }
            Err(fault) => {
                tracing::error!(%fault, "the new configuration is not taken, the old one holds");
                note(false, fault.to_string());
            }
        }
        if !plugins.is_none() {
            plugins.load(&hub);
        }
        limits.reload(&hub);
    }
}

/// Ticks the engine when a timer is due or reports wait, no denser than the settings allow, and hands out what
/// is due then.
async fn ticks(
    hub: Rc<Hub>,
    servers: Rc<Servers>,
    (plugins, limits): (Rc<Plugins>, Rc<Limits>),
    between: Duration,
) {
    let mut told = Instant::now();
    loop {
        let ticked = Instant::now();
        let now = hub.clock.now();
        // Before the tick, which carries what they advise to the decisions.
        plugins.turn(&hub);
        limits.turn(&hub);
        let next = hub.engine().tick(now);
        let until_next = next.map_or(Duration::ZERO, |next| length(next - now));
        hand_out(&hub, &servers, until_next.mul_f64(PROBES_SPREAD));
        hub.note_series(&limits);
        if told.elapsed() >= DROPPED_EVERY {
            told = Instant::now();
            let (reports, last) = hub.take_dropped();
            if reports > 0 {
                tracing::warn!(reports, last, "reports dropped");
                hub.note(Kind::ReportsDropped(pb::ReportsDropped {
                    count: reports,
                    last,
                }));
            }
        }
        let due = next.map_or(Duration::from_secs(1), |next| {
            length(next - hub.clock.now())
        });
        let due = due.min(hub.series_due());
        if tokio::time::timeout(due, hub.reported()).await.is_ok() {
            tokio::time::sleep(between.saturating_sub(ticked.elapsed())).await;
        }
    }
}

/// A length of time as the runtime has it.
pub fn length(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros.0).unwrap_or_default())
}

/// Hands out what the tick ordered; probes are sent one after the other within a time.
fn hand_out(hub: &Rc<Hub>, servers: &Rc<Servers>, probes_within: Duration) {
    let reached = hub.engine().take_streams_with_orders();
    for stream in reached {
        hub.ring(stream);
    }
    let probes = std::iter::from_fn(|| hub.engine().take_health_check()).collect();
    servers.probe_spread(hub, probes, probes_within);
    let wish = hub.engine().take_subscription();
    hub.wish_list(wish);
    let now = hub.clock.now();
    loop {
        let noted = hub.engine().take_log_event(now);
        let Some(noted) = noted else { break };
        if noted.logged {
            let (kind, server) = (
                kind::name(kind::number(&noted.kind)),
                kind::server(&noted.kind),
            );
            tracing::info!(kind, server, "{}", text::line(&noted.kind));
        }
        hub.note_at(noted.occurred_at, noted.observed_at, noted.kind);
    }
}
