//! The formatter: spaces and indents by one rule, line breaks and comments as they were written. What it gives means the
//! same, and formatting it again changes nothing.

use logos::Logos;

use crate::diagnostics::Diagnostic;
use crate::lex::{tokens, Token};

/// Spaces of an indent.
const INDENT: usize = 4;

/// Where a comment begins in a line, outside of texts.
fn comment(line: &str) -> Option<usize> {
    let mut quoted = false;
    for (at, c) in line.char_indices() {
        match c {
            '"' => quoted = !quoted,
            '#' if !quoted => return Some(at),
            _ => {}
        }
    }
    None
}

/// Whether a space stands between two tokens. A sign before a value has none behind it.
fn spaced(before: &Token, sign: bool, next: &Token) -> bool {
    let word = |token: &Token| {
        matches!(
            token,
            Token::Name(_) | Token::CloseSet | Token::Close | Token::Number(_) | Token::Text(_)
        )
    };
    match (before, next) {
        (_, Token::Comma | Token::Close | Token::CloseSet | Token::Dot | Token::Colon) => false,
        (Token::Open | Token::OpenSet | Token::Dot, _) => false,
        (Token::Minus, _) if sign => false,
        // A call, a part of a map, and a loop's or condition's bracket.
        (Token::Name(_), Token::Open) => false,
        (before, Token::OpenSet) => !matches!(before, Token::Name(_)) || !word(before),
        _ => true,
    }
}

/// Whether a minus after this is a sign.
fn signs(before: Option<&Token>) -> bool {
    !matches!(
        before,
        Some(
            Token::Name(_)
                | Token::Number(_)
                | Token::Text(_)
                | Token::Close
                | Token::CloseSet
                | Token::True
                | Token::False
        )
    )
}

fn opens(token: &Token) -> bool {
    matches!(token, Token::Open | Token::OpenBlock | Token::OpenSet)
}

fn closes(token: &Token) -> bool {
    matches!(token, Token::Close | Token::CloseBlock | Token::CloseSet)
}

/// The text of a line's tokens with one rule for spaces.
fn line(code: &str) -> (String, Vec<Token>) {
    let (mut out, mut all): (String, Vec<Token>) = (String::new(), Vec::new());
    let mut sign = false;
    for (token, span) in Token::lexer(code).spanned() {
        let Ok(token) = token else { continue };
        let is_sign = token == Token::Minus && signs(all.last());
        if all
            .last()
            .is_some_and(|before| spaced(before, sign, &token))
        {
            out.push(' ');
        }
        out.push_str(code.get(span).unwrap_or_default());
        sign = is_sign;
        all.push(token);
    }
    (out, all)
}

/// Formats a text; one whose words cannot be told apart is left alone, with its faults.
pub fn format(source: &str) -> Result<String, Vec<Diagnostic>> {
    let (_, faults) = tokens(source);
    if !faults.is_empty() {
        return Err(faults);
    }
    let (mut out, mut depth, mut blank) = (String::new(), 0usize, true);
    for text in source.lines() {
        let (code, note) = text.split_at(comment(text).unwrap_or(text.len()));
        let (code, all) = line(code);
        let note = note.trim_end();
        if code.is_empty() && note.is_empty() {
            // Blank lines stay, one at a time, and none at the begin.
            if !blank {
                out.push('\n');
            }
            blank = true;
            continue;
        }
        blank = false;
        let leading = all.iter().take_while(|token| closes(token)).count();
        let indent = depth.saturating_sub(leading) * INDENT;
        out.extend(std::iter::repeat_n(' ', indent));
        out.push_str(&code);
        if !note.is_empty() {
            out.push_str(if code.is_empty() { "" } else { "  " });
            out.push_str(note);
        }
        out.push('\n');
        for token in &all {
            depth = if opens(token) {
                depth + 1
            } else {
                depth.saturating_sub(usize::from(closes(token)))
            };
        }
    }
    let end = out.trim_end_matches('\n').len();
    out.truncate(end);
    if !out.is_empty() {
        out.push('\n');
    }
    Ok(out)
}

#[cfg(test)]
mod tests;
