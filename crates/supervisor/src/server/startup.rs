//! Startup: reads the configuration, wires the components, and runs them until SIGTERM.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use chutegrade_engine::{DeploymentNames, Engine, Micros};
use chutegrade_limits::OverloadConfig;
use chutegrade_operator_config::{LogFormat, OperatorConfig};
use chutegrade_records::{pb, Kind};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::task::{AbortHandle, LocalSet};

use crate::config::{self, Config, LoadedConfig};
use crate::peers::discovery::discovery_pending;
use crate::peers::listener;
use crate::server::errors::{OperatorConfigErrors, ServerError};
use crate::server::handles::SharedHandles;
use crate::server::logging;
use crate::server::overload_control::{config_for_engine, OverloadControl};
use crate::server::parameters::ServerParameters;
use crate::server::plugins::Plugins;
use crate::server::shutdown::shut_down;
use crate::server::signals::Signals;
use crate::server::tasks::ServerComponents;
use crate::shared::clock::Clock;
use crate::shared::engine_handle::EngineHandle;
use crate::shared::event_recorder::EventRecorder;

/// Serves until SIGTERM, with the operators' file at this path. A failure is logged as one sentence and exits with code 1.
pub fn run(operator_path: Option<&Path>) -> ExitCode {
    // Signal handlers are installed first: SIGHUP may arrive while the configuration is being read, and an unhandled signal
    // ends the program.
    let runtime = ServerRuntime::new();
    let operator = OperatorFile::load(operator_path);
    logging::init(
        operator
            .as_ref()
            .map_or(LogFormat::Plain, |file| file.config.log),
    );
    let served = runtime.and_then(|runtime| runtime.serve(operator?));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("chutegrade cannot run: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The single-threaded runtime, with its signal handlers.
struct ServerRuntime {
    runtime: Runtime,
    signals: Signals,
}

impl ServerRuntime {
    fn new() -> Result<Self, ServerError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ServerError::Runtime)?;
        let signals = {
            let _entered = runtime.enter();
            Signals::install()?
        };
        Ok(ServerRuntime { runtime, signals })
    }

    fn serve(self, operator: OperatorFile<'_>) -> Result<(), ServerError> {
        let configuration = config::from_env()?;
        let serving = serve(configuration, &operator, self.signals);
        LocalSet::new().block_on(&self.runtime, serving)
    }
}

/// The operators' file, with its content at startup.
struct OperatorFile<'a> {
    path: Option<&'a Path>,
    config: OperatorConfig,
}

impl<'a> OperatorFile<'a> {
    /// Reads the file; without a path, all optional features are off.
    fn load(path: Option<&'a Path>) -> Result<Self, OperatorConfigErrors> {
        let config = match path {
            Some(path) => chutegrade_operator_config::load(path)?,
            None => OperatorConfig::default(),
        };
        Ok(OperatorFile { path, config })
    }
}

/// Wires the components, and runs them until SIGTERM or until one of them fails.
async fn serve(
    configuration: LoadedConfig,
    operator: &OperatorFile<'_>,
    signals: Signals,
) -> Result<(), ServerError> {
    let LoadedConfig { config, source } = configuration;
    let Signals {
        mut terminate,
        hangup,
    } = signals;
    let listener = bind(&config)?;
    let listen = listener.local_addr().map_err(ServerError::LocalAddress)?;
    let name = config.name.clone();
    let discovery = config.discovery;
    let components = build_components(config, operator, listen)?;
    let handles = components.handles.clone();
    let tasks = components.spawn(listener, source, hangup);
    tracing::info!(name, %listen, %discovery, "started");
    let abort_handles = tasks.abort_handles();
    tasks.run_until(&mut terminate).await?;
    tracing::info!("stopping");
    let requested_at = Instant::now();
    // Tasks are aborted before connections are closed: otherwise records could contain orders that no proxy receives, and
    // servers would handle health checks whose results are not used.
    abort_handles.iter().for_each(AbortHandle::abort);
    shut_down(&handles.shutdown, &handles.recorder, requested_at).await;
    Ok(())
}

/// Creates the components, and reports the cached endpoint list to the engine.
fn build_components(
    config: Config,
    operator: &OperatorFile<'_>,
    listen: SocketAddr,
) -> Result<ServerComponents, ServerError> {
    warn_of_inconsistencies(&config);
    let parameters = ServerParameters::from(&config);
    let engine = EngineHandle::new(Engine::new(config.settings, config.seed, config.names));
    let overload_config = config_for_engine(&operator.config, &engine)?;
    let clock = Clock::start();
    let recorder = open_recorder(&operator.config, &config.name, clock)?;
    let handles = SharedHandles::new(engine, recorder, clock);
    let overload = start_overload_control(
        &handles,
        operator.path,
        overload_config,
        parameters.report_period,
    );
    record_start(&handles, listen);
    // Reported before the first proxy can join: until discovery answers, proxies hold more recent tables.
    handles.engine.report(discovery_pending());
    if let Some(cached) = &config.cached_endpoints {
        handles.engine.report(cached.to_report());
    }
    let plugin_files = operator.config.plugins.clone();
    let plugins = Rc::new(Plugins::new(handles.plugin_context(), plugin_files));
    plugins.load();
    Ok(ServerComponents {
        handles,
        parameters,
        overload,
        plugins,
        discovery: config.discovery,
        cached_endpoints: config.cached_endpoints,
    })
}

fn bind(config: &Config) -> Result<TcpListener, ServerError> {
    listener::bind(config.listen, config.settings.proxies).map_err(|error| ServerError::Listen {
        address: config.listen,
        error,
    })
}

fn warn_of_inconsistencies(config: &Config) {
    for warning in config.consistency_warnings() {
        tracing::warn!(doubt = warning, "settings are inconsistent or incomplete");
    }
}

/// Opens the recorder that the operators' file configures.
fn open_recorder(
    operator: &OperatorConfig,
    supervisor: &str,
    clock: Clock,
) -> Result<EventRecorder, ServerError> {
    match &operator.records {
        Some(records) => {
            EventRecorder::open(records, supervisor, clock).map_err(ServerError::Recorder)
        }
        None => Ok(EventRecorder::disabled()),
    }
}

/// Creates overload control. If records are kept, enables recording in the engine and restores the last recorded level.
fn start_overload_control(
    handles: &SharedHandles,
    path: Option<&Path>,
    config: Option<OverloadConfig>,
    report_period: Micros,
) -> Rc<OverloadControl> {
    let context = handles.overload_context();
    let overload = OverloadControl::new(context, path, config, report_period);
    if handles.recorder.is_enabled() {
        handles.engine.borrow_mut().enable_recording();
        overload.restore_level();
    }
    Rc::new(overload)
}

fn record_start(handles: &SharedHandles, listen: SocketAddr) {
    let DeploymentNames { zones, classes, .. } = handles.engine.borrow_mut().deployment_names();
    handles.recorder.record(Kind::Started(pb::Started {
        version: env!("CARGO_PKG_VERSION").to_string(),
        listen: listen.to_string(),
        zones,
        classes,
    }));
}
