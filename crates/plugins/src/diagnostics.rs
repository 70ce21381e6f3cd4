//! What is wrong with a text: where, what was found, and what would be right.

use ariadne::{Config, Label, Report, ReportKind, Source};

/// A range of bytes in a text.
pub type Span = std::ops::Range<usize>;

/// One fault of a text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {text}")]
pub struct Diagnostic {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// What is wrong, and what would be right.
    pub text: String,
    /// Where it is.
    pub span: Span,
}

impl Diagnostic {
    /// A fault at a place of a text.
    pub fn new(source: &str, span: Span, text: impl Into<String>) -> Self {
        let before = source.get(..span.start.min(source.len())).unwrap_or(source);
        let line = before.matches('\n').count() + 1;
        let column = before
            .rsplit('\n')
            .next()
            .map_or(0, |last| last.chars().count())
            + 1;
        let text: String = text.into();
        Diagnostic {
            line,
            column,
            text: text.replace(['\n', '\r'], " "),
            span,
        }
    }

    /// The fault with the lines around it, for a terminal.
    pub fn render(&self, name: &str, source: &str) -> String {
        let at = |byte: usize| {
            source
                .get(..byte.min(source.len()))
                .map_or(0, |text| text.chars().count())
        };
        let span = at(self.span.start)..at(self.span.end.max(self.span.start));
        let config = Config::default().with_color(false).with_compact(true);
        let label = Label::new((name, span.clone())).with_message(&self.text);
        let report = Report::build(ReportKind::Error, (name, span))
            .with_config(config)
            .with_message(&self.text);
        let mut out = Vec::new();
        match report
            .with_label(label)
            .finish()
            .write((name, Source::from(source)), &mut out)
        {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(_) => format!("{name}:{self}\n"),
        }
    }
}
