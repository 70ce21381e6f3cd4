//! The lexer.

use std::fmt;

use logos::Logos;

use crate::diagnostics::{Diagnostic, Span};

/// Maximum size of a plug-in's source, in bytes; rules that operators write have a screen or two.
pub const MAX_SOURCE_BYTES: usize = 64 << 10;
/// Maximum nesting of brackets, which bounds the recursion of the parser. Readable expressions have four levels.
pub const MAX_NESTING: usize = 16;
/// Maximum size of a text literal, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;

/// A token. Numbers keep their digits as text, so that tokens can be compared and hashed.
#[derive(Logos, Clone, Debug, PartialEq, Eq, Hash)]
#[logos(skip r"[ \t\r\n]+")]
#[logos(skip r"#[^\n]*")]
#[allow(missing_docs)]
pub enum Token {
    #[regex(r"[A-Za-z_][A-Za-z0-9_]*", |lex| lex.slice().to_string())]
    Name(String),
    #[regex(r"[0-9]{1,15}(\.[0-9]{1,15})?", |lex| lex.slice().to_string())]
    Number(String),
    #[regex(r#""[^"\n]*""#, |lex| lex.slice().trim_matches('"').to_string())]
    Text(String),
    #[token("plugin")]
    Plugin,
    #[token("version")]
    Version,
    #[token("host")]
    HostVersion,
    #[token("steers")]
    Steers,
    #[token("state")]
    State,
    #[token("let")]
    Let,
    #[token("fn")]
    Fn,
    #[token("hook")]
    Hook,
    #[token("case")]
    Case,
    #[token("expect")]
    Expect,
    #[token("if")]
    If,
    #[token("else")]
    Else,
    #[token("for")]
    For,
    #[token("in")]
    In,
    #[token("return")]
    Return,
    #[token("and")]
    And,
    #[token("or")]
    Or,
    #[token("not")]
    Not,
    #[token("true")]
    True,
    #[token("false")]
    False,
    #[token("==")]
    Eq,
    #[token("!=")]
    Ne,
    #[token("<=")]
    Le,
    #[token(">=")]
    Ge,
    #[token("<")]
    Lt,
    #[token(">")]
    Gt,
    #[token("=")]
    Assign,
    #[token("+")]
    Plus,
    #[token("-")]
    Minus,
    #[token("*")]
    Star,
    #[token("/")]
    Slash,
    #[token("%")]
    Percent,
    #[token("->")]
    Arrow,
    #[token("(")]
    Open,
    #[token(")")]
    Close,
    #[token("{")]
    OpenBlock,
    #[token("}")]
    CloseBlock,
    #[token("[")]
    OpenSet,
    #[token("]")]
    CloseSet,
    #[token(",")]
    Comma,
    #[token(".")]
    Dot,
    #[token(":")]
    Colon,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lexeme = match self {
            Token::Name(name) => return write!(f, "the name {name:?}"),
            Token::Number(digits) => return write!(f, "the number {digits}"),
            Token::Text(text) => return write!(f, "the text {text:?}"),
            Token::Plugin => "plugin",
            Token::Version => "version",
            Token::HostVersion => "host",
            Token::Steers => "steers",
            Token::State => "state",
            Token::Let => "let",
            Token::Fn => "fn",
            Token::Hook => "hook",
            Token::Case => "case",
            Token::Expect => "expect",
            Token::If => "if",
            Token::Else => "else",
            Token::For => "for",
            Token::In => "in",
            Token::Return => "return",
            Token::And => "and",
            Token::Or => "or",
            Token::Not => "not",
            Token::True => "true",
            Token::False => "false",
            Token::Eq => "==",
            Token::Ne => "!=",
            Token::Le => "<=",
            Token::Ge => ">=",
            Token::Lt => "<",
            Token::Gt => ">",
            Token::Assign => "=",
            Token::Plus => "+",
            Token::Minus => "-",
            Token::Star => "*",
            Token::Slash => "/",
            Token::Percent => "%",
            Token::Arrow => "->",
            Token::Open => "(",
            Token::Close => ")",
            Token::OpenBlock => "{",
            Token::CloseBlock => "}",
            Token::OpenSet => "[",
            Token::CloseSet => "]",
            Token::Comma => ",",
            Token::Dot => ".",
            Token::Colon => ":",
        };
        write!(f, "'{lexeme}'")
    }
}

/// Returns the tokens of a source with their spans, and a diagnostic for each part of it that is not a token, and
/// for each limit that is exceeded.
pub fn tokenize(source: &str) -> (Vec<(Token, Span)>, Vec<Diagnostic>) {
    let (mut tokens, mut diagnostics) = (Vec::new(), Vec::new());
    if source.len() > MAX_SOURCE_BYTES {
        let message = format!(
            "a plug-in of {} bytes is too long, the maximum is {MAX_SOURCE_BYTES}",
            source.len()
        );
        return (tokens, vec![Diagnostic::new(source, 0..0, message)]);
    }
    let mut depth = 0usize;
    for (token, span) in Token::lexer(source).spanned() {
        let error = |message: String| Diagnostic::new(source, span.clone(), message);
        match token {
            Ok(Token::Text(text)) if text.len() > MAX_TEXT_BYTES => {
                diagnostics.push(error(format!(
                    "a text of {} bytes is too long, the maximum is {MAX_TEXT_BYTES}",
                    text.len()
                )));
            }
            Ok(token) => {
                match token {
                    Token::Open | Token::OpenBlock | Token::OpenSet => depth += 1,
                    Token::Close | Token::CloseBlock | Token::CloseSet => {
                        depth = depth.saturating_sub(1)
                    }
                    _ => {}
                }
                if depth > MAX_NESTING {
                    diagnostics.push(error(format!(
                        "brackets are nested too deep, the maximum depth is {MAX_NESTING}"
                    )));
                    return (Vec::new(), diagnostics);
                }
                tokens.push((token, span));
            }
            Err(()) => {
                let found = source.get(span.clone()).unwrap_or_default();
                diagnostics.push(error(format!(
                    "found {found:?}, which is not a token of the language"
                )));
            }
        }
    }
    (tokens, diagnostics)
}
