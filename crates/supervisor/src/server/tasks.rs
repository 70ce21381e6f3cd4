//! The tasks that run as long as the server does.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle, JoinHandle};

use crate::config::ConfigSource;
use crate::peers::discovery::DiscoveryClient;
use crate::peers::health_check::HealthChecker;
use crate::peers::listener::ConnectionHandler;
use crate::protocol::endpoint_delivery::CachedEndpointList;
use crate::server::errors::TaskStopped;
use crate::server::handles::SharedHandles;
use crate::server::overload_control::OverloadControl;
use crate::server::parameters::ServerParameters;
use crate::server::plugins::Plugins;
use crate::server::reload::Reloader;
use crate::server::tick_loop::TickLoop;

/// The components that the tasks are built from.
pub struct ServerComponents {
    /// Handles that the tasks share.
    pub handles: SharedHandles,
    /// Configured parameters of the tasks.
    pub parameters: ServerParameters,
    /// Evaluated by the tick loop, and reloaded at SIGHUP.
    pub overload: Rc<OverloadControl>,
    /// Evaluated by the tick loop, and reloaded at SIGHUP.
    pub plugins: Rc<Plugins>,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Endpoint list that was last delivered to an earlier run.
    pub cached_endpoints: Option<CachedEndpointList>,
}

impl ServerComponents {
    /// Spawns the tasks; `hangup` is the signal to reload `source`. The tick loop is spawned first, so that the engine has
    /// ticked with the cached endpoint list before the first connection is accepted.
    pub fn spawn(self, listener: TcpListener, source: ConfigSource, hangup: Signal) -> ServerTasks {
        let handles = self.handles;
        let parameters = self.parameters;
        let health_checker = HealthChecker::new(
            handles.engine.clone(),
            handles.shutdown.clone(),
            parameters.health_check,
        );
        let tick_loop = TickLoop {
            engine: handles.engine.clone(),
            clock: handles.clock,
            streams: Rc::clone(&handles.streams),
            subscriptions: Rc::clone(&handles.subscriptions),
            health_checker: Rc::clone(&health_checker),
            plugins: Rc::clone(&self.plugins),
            overload: Rc::clone(&self.overload),
            recorder: handles.recorder.clone(),
            series: handles.fleet_series(&self.overload),
            min_tick_interval: parameters.min_tick_interval,
        };
        let (discovery_sender, discovery_receiver) = watch::channel(self.discovery);
        let reloader = Reloader {
            source,
            discovery: discovery_sender,
            plugins: self.plugins,
            overload: self.overload,
            recorder: handles.recorder.clone(),
        };
        let discovery_client = DiscoveryClient::new(
            handles.discovery_context(),
            discovery_receiver,
            self.cached_endpoints,
            parameters.endpoints_on_request,
        );
        let connection_handler = Rc::new(ConnectionHandler::new(
            handles.shutdown.clone(),
            handles.proxy_stream_context(parameters.stream_idle_timeout),
            parameters.max_descriptors,
        ));
        ServerTasks {
            tick_loop: spawn_local(tick_loop.run()),
            reload: spawn_local(reloader.run(hangup)),
            discovery: spawn_local(discovery_client.run()),
            listener: spawn_local(connection_handler.accept_connections(listener, health_checker)),
        }
    }
}

/// The tasks of a server, all of which run until it is stopped.
pub struct ServerTasks {
    /// Ticks the engine.
    pub tick_loop: JoinHandle<()>,
    /// Reloads the configuration.
    pub reload: JoinHandle<()>,
    /// Follows the endpoint list.
    pub discovery: JoinHandle<()>,
    /// Accepts connections.
    pub listener: JoinHandle<()>,
}

impl ServerTasks {
    /// Returns handles that abort the tasks.
    pub fn abort_handles(&self) -> [AbortHandle; 4] {
        [
            self.tick_loop.abort_handle(),
            self.reload.abort_handle(),
            self.discovery.abort_handle(),
            self.listener.abort_handle(),
        ]
    }

    /// Waits for SIGTERM.
    ///
    /// # Errors
    ///
    /// If a task ends earlier: the server cannot work without it.
    pub async fn run_until(self, terminate: &mut Signal) -> Result<(), TaskStopped> {
        tokio::select! {
            biased;
            _ = terminate.recv() => Ok(()),
            _ = self.tick_loop => Err(TaskStopped::TickLoop),
            _ = self.reload => Err(TaskStopped::Reload),
            _ = self.discovery => Err(TaskStopped::Discovery),
            _ = self.listener => Err(TaskStopped::Listener),
        }
    }
}
