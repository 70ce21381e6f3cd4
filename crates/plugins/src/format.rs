//! The formatter: it normalizes spaces and indentation, and keeps line breaks and comments. The result has the same meaning,
//! and formatting it again changes nothing.

use logos::Logos;

use crate::diagnostics::Diagnostic;
use crate::lex::{tokenize, Token};

/// Spaces for each level of brackets.
const INDENT_SPACES: usize = 4;

/// Returns the byte offset of the comment in a line; `None` without one. A `#` in a text literal does not start one.
fn comment_start(line: &str) -> Option<usize> {
    let mut in_text = false;
    for (offset, c) in line.char_indices() {
        match c {
            '"' => in_text = !in_text,
            '#' if !in_text => return Some(offset),
            _ => {}
        }
    }
    None
}

/// Returns whether a space separates two tokens. `is_sign` says that the first is a minus sign, which no space follows.
fn needs_space(before: &Token, is_sign: bool, next: &Token) -> bool {
    let ends_value = |token: &Token| {
        matches!(
            token,
            Token::Name(_) | Token::CloseSet | Token::Close | Token::Number(_) | Token::Text(_)
        )
    };
    match (before, next) {
        (_, Token::Comma | Token::Close | Token::CloseSet | Token::Dot | Token::Colon) => false,
        (Token::Open | Token::OpenSet | Token::Dot, _) => false,
        (Token::Minus, _) if is_sign => false,
        // A call and an index follow a name without a space; other brackets are separated.
        (Token::Name(_), Token::Open) => false,
        (before, Token::OpenSet) => !matches!(before, Token::Name(_)) || !ends_value(before),
        _ => true,
    }
}

/// Returns whether a minus after this token is a sign rather than a subtraction.
fn minus_is_sign(before: Option<&Token>) -> bool {
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

/// Returns the code of one line with normalized spaces, and its tokens.
fn format_line(code: &str) -> (String, Vec<Token>) {
    let (mut out, mut tokens): (String, Vec<Token>) = (String::new(), Vec::new());
    let mut after_sign = false;
    for (token, span) in Token::lexer(code).spanned() {
        let Ok(token) = token else { continue };
        let is_sign = token == Token::Minus && minus_is_sign(tokens.last());
        if tokens
            .last()
            .is_some_and(|before| needs_space(before, after_sign, &token))
        {
            out.push(' ');
        }
        out.push_str(code.get(span).unwrap_or_default());
        after_sign = is_sign;
        tokens.push(token);
    }
    (out, tokens)
}

/// Formats a source, which need not be valid beyond its tokens.
///
/// # Errors
///
/// The diagnostics of a source that cannot be split into tokens.
pub fn format(source: &str) -> Result<String, Vec<Diagnostic>> {
    let (_, diagnostics) = tokenize(source);
    if !diagnostics.is_empty() {
        return Err(diagnostics);
    }
    let (mut out, mut depth, mut after_blank) = (String::new(), 0usize, true);
    for line in source.lines() {
        let (code, comment) = line.split_at(comment_start(line).unwrap_or(line.len()));
        let (code, tokens) = format_line(code);
        let comment = comment.trim_end();
        if code.is_empty() && comment.is_empty() {
            // Consecutive blank lines become one, and leading ones are dropped.
            if !after_blank {
                out.push('\n');
            }
            after_blank = true;
            continue;
        }
        after_blank = false;
        let leading_closers = tokens.iter().take_while(|token| closes(token)).count();
        let indent = depth.saturating_sub(leading_closers) * INDENT_SPACES;
        out.extend(std::iter::repeat_n(' ', indent));
        out.push_str(&code);
        if !comment.is_empty() {
            out.push_str(if code.is_empty() { "" } else { "  " });
            out.push_str(comment);
        }
        out.push('\n');
        for token in &tokens {
            depth = if opens(token) {
                depth + 1
            } else {
                depth.saturating_sub(usize::from(closes(token)))
            };
        }
    }
    let length = out.trim_end_matches('\n').len();
    out.truncate(length);
    if !out.is_empty() {
        out.push('\n');
    }
    Ok(out)
}

#[cfg(test)]
mod tests;
