//! Decodes the load report in a health check response.

use chutegrade_engine::LoadReport;

/// Decodes a body of the form `TEXT name=value, ...`, in which `TEXT` may be absent.
pub fn decode_load_report(body: &str) -> LoadReport {
    let body = body.trim();
    let values = body.strip_prefix("TEXT").unwrap_or(body);
    chutegrade_settings::parse_load_report(values)
}

#[cfg(test)]
mod tests;
