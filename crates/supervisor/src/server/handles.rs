//! The handles that the server's tasks share, and the subset that each task uses.

use std::rc::Rc;
use std::time::Duration;

use crate::peers::discovery::DiscoveryContext;
use crate::peers::proxy_stream::ProxyStreamContext;
use crate::server::fleet_series::FleetSeries;
use crate::server::overload_control::{OverloadContext, OverloadControl};
use crate::server::plugins::PluginContext;
use crate::shared::clock::Clock;
use crate::shared::engine_handle::EngineHandle;
use crate::shared::event_recorder::EventRecorder;
use crate::shared::shutdown::Shutdown;
use crate::shared::stream_registry::StreamRegistry;
use crate::shared::subscription_channel::SubscriptionChannel;

/// The handles that the server's tasks share; clones refer to the same components.
#[derive(Clone)]
pub struct SharedHandles {
    /// Receives reports and makes the decisions.
    pub engine: EngineHandle,
    /// Time source of decisions and records.
    pub clock: Clock,
    /// Records events, if records are kept.
    pub recorder: EventRecorder,
    /// Signals the shutdown and tracks connections.
    pub shutdown: Shutdown,
    /// The proxies' open streams.
    pub streams: Rc<StreamRegistry>,
    /// The discovery subscription that the engine requests.
    pub subscriptions: Rc<SubscriptionChannel>,
}

impl SharedHandles {
    /// Creates the handles for this engine and recorder.
    pub fn new(engine: EngineHandle, recorder: EventRecorder, clock: Clock) -> Self {
        SharedHandles {
            engine,
            clock,
            recorder,
            shutdown: Shutdown::new(),
            streams: Rc::default(),
            subscriptions: Rc::default(),
        }
    }

    /// Returns the handles that overload control uses.
    pub fn overload_context(&self) -> OverloadContext {
        OverloadContext {
            engine: self.engine.clone(),
            recorder: self.recorder.clone(),
            clock: self.clock,
        }
    }

    /// Returns the handles that plug-ins use.
    pub fn plugin_context(&self) -> PluginContext {
        PluginContext {
            engine: self.engine.clone(),
            recorder: self.recorder.clone(),
            clock: self.clock,
        }
    }

    /// Returns the handles and the idle timeout that proxies' streams use.
    pub fn proxy_stream_context(&self, idle_timeout: Duration) -> ProxyStreamContext {
        ProxyStreamContext {
            engine: self.engine.clone(),
            streams: Rc::clone(&self.streams),
            recorder: self.recorder.clone(),
            clock: self.clock,
            idle_timeout,
        }
    }

    /// Returns the handles that the discovery client uses.
    pub fn discovery_context(&self) -> DiscoveryContext {
        DiscoveryContext {
            engine: self.engine.clone(),
            shutdown: self.shutdown.clone(),
            recorder: self.recorder.clone(),
            subscriptions: Rc::clone(&self.subscriptions),
        }
    }

    /// Creates the recorder of fleet metrics, if records are kept.
    pub fn fleet_series(&self, overload: &Rc<OverloadControl>) -> Option<FleetSeries> {
        if !self.recorder.is_enabled() {
            return None;
        }
        Some(FleetSeries::new(
            self.clock,
            self.engine.clone(),
            self.recorder.clone(),
            Rc::clone(overload),
        ))
    }
}
