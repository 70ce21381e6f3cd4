//! The fields of a line, by key.

use std::str::FromStr;

use chutegrade_policy::{LoadReport, Micros, ProxyId, ServerId, TableId, ZoneId};

use super::error::CodecError;
use super::vocabulary::{value_of, Keyword};

/// Maximum number of characters of an invalid value in an error message.
const MAX_SHOWN_VALUE: usize = 40;

/// The tag and the fields of a line.
pub(super) struct Fields<'a> {
    line: &'a str,
    tag: &'a str,
}

impl<'a> Fields<'a> {
    /// Splits off the tag of a line; fields are searched on access.
    pub fn new(line: &'a str) -> Self {
        let tag = line.split('\t').next().unwrap_or("");
        Fields { line, tag }
    }

    /// Returns the tag; empty for an empty line.
    pub fn tag(&self) -> &'a str {
        self.tag
    }

    /// Whether the line has a field with this key.
    pub fn has(&self, key: &str) -> bool {
        self.find(key).is_some()
    }

    fn find(&self, key: &str) -> Option<&'a str> {
        let mut fields = self.line.split('\t').skip(1);
        fields.find_map(|field| field.strip_prefix(key)?.strip_prefix('='))
    }

    /// Returns the text of a required field.
    pub fn text(&self, key: &'static str) -> Result<&'a str, CodecError> {
        self.find(key).ok_or_else(|| self.missing(key))
    }

    /// Returns the error for an absent field.
    pub fn missing(&self, key: &'static str) -> CodecError {
        CodecError::MissingField {
            tag: self.tag.to_string(),
            key,
        }
    }

    /// Returns the error for an invalid value.
    pub fn invalid(&self, key: &'static str, value: &str) -> CodecError {
        CodecError::InvalidField {
            tag: self.tag.to_string(),
            key,
            value: value.chars().take(MAX_SHOWN_VALUE).collect(),
        }
    }

    /// Parses the value of a required field.
    pub fn parse<T: FromStr>(&self, key: &'static str) -> Result<T, CodecError> {
        let text = self.text(key)?;
        text.parse().map_err(|_| self.invalid(key, text))
    }

    /// Parses a finite number.
    pub fn number(&self, key: &'static str) -> Result<f64, CodecError> {
        let value: f64 = self.parse(key)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.invalid(key, &value.to_string()))
        }
    }

    /// Parses a finite number of at least 0.
    pub fn non_negative(&self, key: &'static str) -> Result<f64, CodecError> {
        let value = self.number(key)?;
        if value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(key, &value.to_string()))
        }
    }

    /// Parses a finite number of at least 0; returns the default if the field is absent.
    pub fn non_negative_or(&self, key: &'static str, default: f64) -> Result<f64, CodecError> {
        if self.has(key) {
            self.non_negative(key)
        } else {
            Ok(default)
        }
    }

    /// Parses a time in milliseconds.
    pub fn milliseconds(&self, key: &'static str) -> Result<Micros, CodecError> {
        self.number(key).map(Micros::from_ms)
    }

    /// Parses a Boolean: 0 is false, any other number is true.
    pub fn flag(&self, key: &'static str) -> Result<bool, CodecError> {
        let value: u8 = self.parse(key)?;
        Ok(value != 0)
    }

    /// Returns the value for the keyword in a field.
    pub fn keyword<T: Copy>(
        &self,
        key: &'static str,
        keywords: &[Keyword<T>],
    ) -> Result<T, CodecError> {
        let text = self.text(key)?;
        value_of(keywords, text).ok_or_else(|| self.invalid(key, text))
    }

    /// Parses the load report; empty if the line has none.
    pub fn load_report(&self) -> LoadReport {
        let text = self.find("healthInfo").unwrap_or("");
        chutegrade_settings::parse_load_report(text)
    }

    /// Parses the server's id.
    pub fn server(&self) -> Result<ServerId, CodecError> {
        self.parse("server").map(ServerId)
    }

    /// Parses the proxy's id.
    pub fn proxy(&self) -> Result<ProxyId, CodecError> {
        self.parse("clientLb").map(ProxyId)
    }

    /// Parses the zone's id.
    pub fn zone(&self) -> Result<ZoneId, CodecError> {
        self.parse("locality").map(ZoneId)
    }

    /// Parses the table's id.
    pub fn table(&self) -> Result<TableId, CodecError> {
        self.parse("mapId").map(TableId)
    }
}
