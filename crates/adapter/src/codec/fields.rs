//! The fields of a line, by key.

use std::str::FromStr;

use chutegrade_policy::{LoadReport, Micros, ProxyId, ServerId, TableId, ZoneId};

use super::error::CodecError;
use super::vocabulary::{value_of, Keyword};

/// Characters of an invalid value that its error shows.
const MAX_SHOWN_VALUE: usize = 40;

/// The tag and the fields of a line.
pub(super) struct Fields<'a> {
    line: &'a str,
    tag: &'a str,
}

impl<'a> Fields<'a> {
    /// The tag and the fields of a line.
    pub fn new(line: &'a str) -> Self {
        let tag = line.split('\t').next().unwrap_or("");
        Fields { line, tag }
    }

    /// The tag of the line.
    pub fn tag(&self) -> &'a str {
        self.tag
    }

    /// Whether the line has a field.
    pub fn has(&self, key: &str) -> bool {
        self.find(key).is_some()
    }

    fn find(&self, key: &str) -> Option<&'a str> {
        let mut fields = self.line.split('\t').skip(1);
        fields.find_map(|field| field.strip_prefix(key)?.strip_prefix('='))
    }

    /// The text of a field.
    pub fn text(&self, key: &'static str) -> Result<&'a str, CodecError> {
        self.find(key).ok_or_else(|| self.missing(key))
    }

    /// The error of an absent field.
    pub fn missing(&self, key: &'static str) -> CodecError {
        CodecError::MissingField {
            tag: self.tag.to_string(),
            key,
        }
    }

    /// The error of an invalid value.
    pub fn invalid(&self, key: &'static str, value: &str) -> CodecError {
        CodecError::InvalidField {
            tag: self.tag.to_string(),
            key,
            value: value.chars().take(MAX_SHOWN_VALUE).collect(),
        }
    }

    /// The value of a field.
    pub fn parse<T: FromStr>(&self, key: &'static str) -> Result<T, CodecError> {
        let text = self.text(key)?;
        text.parse().map_err(|_| self.invalid(key, text))
    }

    /// A finite number.
    pub fn number(&self, key: &'static str) -> Result<f64, CodecError> {
        let value: f64 = self.parse(key)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.invalid(key, &value.to_string()))
        }
    }

    /// A finite number of at least 0.
    pub fn non_negative(&self, key: &'static str) -> Result<f64, CodecError> {
        let value = self.number(key)?;
        if value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(key, &value.to_string()))
        }
    }

    /// A finite number of at least 0, or a default if the field is absent.
    pub fn non_negative_or(&self, key: &'static str, default: f64) -> Result<f64, CodecError> {
        if self.has(key) {
            self.non_negative(key)
        } else {
            Ok(default)
        }
    }

    /// A time, which the wire has in milliseconds.
    pub fn milliseconds(&self, key: &'static str) -> Result<Micros, CodecError> {
        self.number(key).map(Micros::from_ms)
    }

    /// A Boolean: 0 for false, any other number for true.
    pub fn flag(&self, key: &'static str) -> Result<bool, CodecError> {
        let value: u8 = self.parse(key)?;
        Ok(value != 0)
    }

    /// The value of a field that is a keyword.
    pub fn keyword<T: Copy>(
        &self,
        key: &'static str,
        keywords: &[Keyword<T>],
    ) -> Result<T, CodecError> {
        let text = self.text(key)?;
        value_of(keywords, text).ok_or_else(|| self.invalid(key, text))
    }

    /// The load report; empty if there is none.
    pub fn load_report(&self) -> LoadReport {
        let text = self.find("healthInfo").unwrap_or("");
        chutegrade_settings::parse_load_report(text)
    }

    /// The id of the server.
    pub fn server(&self) -> Result<ServerId, CodecError> {
        self.parse("server").map(ServerId)
    }

    /// The id of the proxy.
    pub fn proxy(&self) -> Result<ProxyId, CodecError> {
        self.parse("clientLb").map(ProxyId)
    }

    /// The id of the zone.
    pub fn zone(&self) -> Result<ZoneId, CodecError> {
        self.parse("locality").map(ZoneId)
    }

    /// The id of the table.
    pub fn table(&self) -> Result<TableId, CodecError> {
        self.parse("mapId").map(TableId)
    }
}
