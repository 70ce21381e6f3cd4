//! The `name=value` fields of one line, read as typed and bounded values.

use std::str::FromStr;

use chutegrade_engine::Micros;

use crate::protocol::malformed::MalformedMessage;

/// Largest count that a report may have: more requests than any proxy gets in a day.
const MAX_COUNT: f64 = 1e9;
/// Longest time that a message may have, in milliseconds: a day.
const MAX_TIME_MS: f64 = 86_400_000.0;

/// The fields of a line; the first one of a name counts.
pub struct Fields<'a> {
    message: &'static str,
    line: &'a str,
}

impl<'a> Fields<'a> {
    /// The fields of a line that is a message of this kind.
    pub fn new(message: &'static str, line: &'a str) -> Self {
        Fields { message, line }
    }

    /// The value of a field, if the line has it.
    pub fn find(&self, name: &str) -> Option<&'a str> {
        self.line
            .split(' ')
            .skip(1)
            .find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    /// A text that is not empty.
    pub fn text(&self, name: &'static str) -> Result<&'a str, MalformedMessage> {
        match self.find(name) {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(MalformedMessage::MissingField {
                message: self.message,
                field: name,
            }),
        }
    }

    /// A value of any type that can be read from text.
    pub fn parse<T: FromStr>(&self, name: &'static str) -> Result<T, MalformedMessage> {
        let text = self.text(name)?;
        text.parse().map_err(|_| self.invalid(name))
    }

    /// A finite count that is not negative.
    pub fn count(&self, name: &'static str) -> Result<f64, MalformedMessage> {
        self.number(name, MAX_COUNT)
    }

    /// How many of `total` requests failed; zero if the line has no such field.
    pub fn failures(&self, total: f64) -> Result<f64, MalformedMessage> {
        match self.find("fail") {
            Some(_) => self.number("fail", total),
            None => Ok(0.0),
        }
    }

    /// The mean latency, in milliseconds; zero if the line has no such field.
    pub fn mean_latency_ms(&self) -> Result<f64, MalformedMessage> {
        match self.find("mean") {
            Some(_) => self.number("mean", MAX_TIME_MS),
            None => Ok(0.0),
        }
    }

    /// A time that the line gives in milliseconds.
    pub fn time(&self, name: &'static str) -> Result<Micros, MalformedMessage> {
        self.number(name, MAX_TIME_MS).map(Micros::from_ms)
    }

    /// The period over which the report counted, longer than zero.
    pub fn period(&self) -> Result<Micros, MalformedMessage> {
        let period = self.time("over")?;
        if period > Micros(0) {
            Ok(period)
        } else {
            Err(self.invalid("over"))
        }
    }

    /// The error for a value that the field cannot have.
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
