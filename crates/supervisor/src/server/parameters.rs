//! Parameters of the server's own parts, derived from the configuration.

use std::time::Duration;

use chutegrade_engine::{Micros, ReportSource};

use crate::config::Config;
use crate::peers::health_check::{response_timeout, HealthCheckConfig};
use crate::peers::proxy_stream::stream_idle_timeout;
use crate::shared::clock::to_duration;

/// Parameters of the server's parts.
pub struct ServerParameters {
    /// The period in which proxies and collectors report.
    pub report_period: Micros,
    /// How long a proxy that has something due may send nothing.
    pub stream_idle_timeout: Duration,
    /// How servers are checked.
    pub health_check: HealthCheckConfig,
    /// Whether the engine asks for the endpoint list call by call.
    pub endpoints_on_request: bool,
    /// Minimum time between two ticks that are caused by reports.
    pub min_tick_interval: Duration,
    /// How many descriptors the process may have.
    pub max_descriptors: usize,
}

impl From<&Config> for ServerParameters {
    fn from(config: &Config) -> Self {
        let settings = &config.settings;
        ServerParameters {
            report_period: settings.report_period,
            stream_idle_timeout: stream_idle_timeout(to_duration(settings.report_period)),
            health_check: HealthCheckConfig {
                uses_load_reports: settings.report_source != ReportSource::None,
                connect_timeout: to_duration(Micros::from_ms(config.connect_timeout_ms)),
                response_timeout: response_timeout(&settings.classes),
                idle_timeout: to_duration(settings.idle_timeout),
            },
            endpoints_on_request: settings.endpoints_on_request,
            min_tick_interval: to_duration(Micros::from_ms(config.min_tick_interval_ms)),
            max_descriptors: config.limits.sockets,
        }
    }
}
