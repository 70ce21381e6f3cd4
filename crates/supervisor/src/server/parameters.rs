//! Parameters of the server's components, derived from the configuration.

use std::time::Duration;

use chutegrade_engine::{Micros, ReportSource};

use crate::config::Config;
use crate::peers::health_check::{response_timeout, HealthCheckConfig};
use crate::peers::proxy_stream::stream_idle_timeout;
use crate::shared::clock::to_duration;

/// Parameters of the server's components.
pub struct ServerParameters {
    /// Interval at which proxies and collectors report.
    pub report_period: Micros,
    /// Minimum time after which a stream is closed because an expected message is overdue.
    pub stream_idle_timeout: Duration,
    /// Timeouts and kind of the servers' health checks.
    pub health_check: HealthCheckConfig,
    /// Whether the engine requests each call to discovery separately.
    pub endpoints_on_request: bool,
    /// Minimum time between two ticks that are caused by reports.
    pub min_tick_interval: Duration,
    /// Maximum number of file descriptors, for all processes together.
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
