//! Parses the `name=value` fields of a line as typed and bounded values.

use std::str::FromStr;

use chutegrade_engine::Micros;

use crate::protocol::malformed::MalformedMessage;

/// Maximum count in a report: more requests than a proxy receives in 24 hours.
const MAX_COUNT: f64 = 1e9;
/// Maximum time in a message, in milliseconds: 24 hours.
const MAX_TIME_MS: f64 = 86_400_000.0;

/// The fields of a line; of several fields with the same name, the first is used.
pub struct Fields<'a> {
    message: &'static str,
    line: &'a str,
}

impl<'a> Fields<'a> {
    /// Creates the fields of a line that is a message of this kind.
    pub fn new(message: &'static str, line: &'a str) -> Self {
        Fields { message, line }
    }

    /// Returns the value of a field, if the line has it.
    pub fn find(&self, name: &str) -> Option<&'a str> {
        self.line
            .split(' ')
            .skip(1)
            .find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the value of a field that must be present and not empty.
    pub fn text(&self, name: &'static str) -> Result<&'a str, MalformedMessage> {
        match self.find(name) {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(MalformedMessage::MissingField {
                message: self.message,
                field: name,
            }),
        }
    }

    /// Parses the value of a field.
    pub fn parse<T: FromStr>(&self, name: &'static str) -> Result<T, MalformedMessage> {
        let text = self.text(name)?;
        text.parse().map_err(|_| self.invalid(name))
    }

    /// Returns a count between 0 and `MAX_COUNT`.
    pub fn count(&self, name: &'static str) -> Result<f64, MalformedMessage> {
        self.number(name, MAX_COUNT)
    }

    /// Returns the number of failed requests out of `total`; 0 if the field is absent.
    pub fn failures(&self, total: f64) -> Result<f64, MalformedMessage> {
        match self.find("fail") {
            Some(_) => self.number("fail", total),
            None => Ok(0.0),
        }
    }

    /// Returns the mean latency in milliseconds; 0 if the field is absent.
    pub fn mean_latency_ms(&self) -> Result<f64, MalformedMessage> {
        match self.find("mean") {
            Some(_) => self.number("mean", MAX_TIME_MS),
            None => Ok(0.0),
        }
    }

    /// Returns a time that the line gives in milliseconds.
    pub fn time(&self, name: &'static str) -> Result<Micros, MalformedMessage> {
        self.number(name, MAX_TIME_MS).map(Micros::from_ms)
    }

    /// Returns the period that the report covers, which must be longer than zero.
    pub fn period(&self) -> Result<Micros, MalformedMessage> {
        let period = self.time("over")?;
        if period > Micros(0) {
            Ok(period)
        } else {
            Err(self.invalid("over"))
        }
    }

    /// Returns the error for a field with an invalid value.
    pub fn invalid(&self, name: &'static str) -> MalformedMessage {
        MalformedMessage::InvalidField {
            message: self.message,
            field: name,
        }
    }

    fn number(&self, name: &'static str, max: f64) -> Result<f64, MalformedMessage> {
        let value: f64 = self.parse(name)?;
        if (0.0..=max).contains(&value) {
            Ok(value)
        } else {
            Err(self.invalid(name))
        }
    }
}
