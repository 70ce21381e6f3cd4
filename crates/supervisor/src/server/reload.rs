//! Reloads the configuration, the plug-ins and the limits of the operators' file at SIGHUP.

use std::net::SocketAddr;
use std::rc::Rc;

use chutegrade_records::{pb, Kind};
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::{ConfigError, ConfigSource, ReloadedConfig};
use crate::server::overload_control::OverloadControl;
use crate::server::plugins::Plugins;
use crate::shared::event_recorder::EventRecorder;

/// Reloads the files, and passes on what has changed.
pub struct Reloader {
    /// The configuration file.
    pub source: ConfigSource,
    /// Notifies the discovery client of a changed address.
    pub discovery: watch::Sender<SocketAddr>,
    /// Reloads the plug-ins.
    pub plugins: Rc<Plugins>,
    /// Reloads the limits of the operators' file.
    pub overload: Rc<OverloadControl>,
    /// Records reloads.
    pub recorder: EventRecorder,
}

impl Reloader {
    /// Reloads at each signal; signals that arrive during a reload cause one more reload.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.source.reload() {
                Ok(reloaded) => self.apply(reloaded),
                Err(error) => self.reject(&error),
            }
            self.plugins.load();
            self.overload.reload();
        }
    }

    fn apply(&self, reloaded: ReloadedConfig) {
        let ReloadedConfig {
            discovery,
            restart_required_for,
        } = reloaded;
        let restart_for = restart_required_for.join(",");
        tracing::info!(%discovery, restart_for, "reloaded");
        self.record(
            true,
            format!("discovery at {discovery}, waiting for a restart: [{restart_for}]"),
        );
        self.discovery.send_if_modified(|address| {
            let previous = std::mem::replace(address, discovery);
            previous != discovery
        });
    }

    fn reject(&self, error: &ConfigError) {
        tracing::error!(fault = %error, "new configuration rejected, the old one stays");
        self.record(false, error.to_string());
    }

    fn record(&self, taken: bool, detail: String) {
        self.recorder
            .record(Kind::Reloaded(pb::Reloaded { taken, detail }));
    }
}
