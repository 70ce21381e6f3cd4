//! Diagnostics: errors in the source of a plug-in, with their positions.

use ariadne::{Config, Label, Report, ReportKind, Source};

/// A range of bytes in the source.
pub type Span = std::ops::Range<usize>;

/// An error in the source of a plug-in.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {message}")]
pub struct Diagnostic {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
    /// What was found and what was expected, on one line.
    pub message: String,
    /// The bytes of the source that are in error.
    pub span: Span,
}

impl Diagnostic {
    /// Creates an error at `span`, with line and column computed. Line breaks in the message become spaces.
    pub fn new(source: &str, span: Span, message: impl Into<String>) -> Self {
        let before = source.get(..span.start.min(source.len())).unwrap_or(source);
        let line = before.matches('\n').count() + 1;
        let column = before
            .rsplit('\n')
            .next()
            .map_or(0, |last| last.chars().count())
            + 1;
        let message: String = message.into();
        Diagnostic {
            line,
            column,
            message: message.replace(['\n', '\r'], " "),
            span,
        }
    }

    /// Formats the error with an excerpt of the source, for a terminal.
    pub fn render(&self, name: &str, source: &str) -> String {
        let character = |byte: usize| {
            source
                .get(..byte.min(source.len()))
                .map_or(0, |text| text.chars().count())
        };
        let span = character(self.span.start)..character(self.span.end.max(self.span.start));
        let config = Config::default().with_color(false).with_compact(true);
        let label = Label::new((name, span.clone())).with_message(&self.message);
        let report = Report::build(ReportKind::Error, (name, span))
            .with_config(config)
            .with_message(&self.message);
        let mut rendered = Vec::new();
        match report
            .with_label(label)
            .finish()
            .write((name, Source::from(source)), &mut rendered)
        {
            Ok(()) => String::from_utf8_lossy(&rendered).into_owned(),
            Err(_) => format!("{name}:{self}\n"),
        }
    }
}
