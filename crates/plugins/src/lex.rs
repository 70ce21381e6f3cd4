//! Text to tokens.

use std::fmt;

use logos::Logos;

use crate::diagnostics::{Diagnostic, Span};

/// Longest text of a plug-in, in bytes: rules of districts have a screen or two.
pub const SOURCE_MOST: usize = 64 << 10;
/// Brackets that may be open at once: expressions that people can read have four.
pub const DEPTH_MOST: usize = 16;
/// Longest text literal, in bytes.
pub const TEXT_MOST: usize = 256;

/// A token. Figures keep their digits, so that tokens can be compared.
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
        let word = match self {
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
        write!(f, "'{word}'")
    }
}

/// The tokens of a text with their places, and every character that begins none.
pub fn tokens(source: &str) -> (Vec<(Token, Span)>, Vec<Diagnostic>) {
    let (mut tokens, mut faults) = (Vec::new(), Vec::new());
    if source.len() > SOURCE_MOST {
        let text = format!(
            "{} bytes are too long for a plug-in: at most {SOURCE_MOST}",
            source.len()
        );
        return (tokens, vec![Diagnostic::new(source, 0..0, text)]);
    }
    let mut depth = 0usize;
    for (token, span) in Token::lexer(source).spanned() {
        let fault = |text: String| Diagnostic::new(source, span.clone(), text);
        match token {
            Ok(Token::Text(text)) if text.len() > TEXT_MOST => {
                faults.push(fault(format!(
                    "a text of {} bytes is too long: at most {TEXT_MOST}",
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
                if depth > DEPTH_MOST {
                    faults.push(fault(format!(
                        "brackets are nested too deep: at most {DEPTH_MOST}"
                    )));
                    return (Vec::new(), faults);
                }
                tokens.push((token, span));
            }
            Err(()) => {
                let found = source.get(span.clone()).unwrap_or_default();
                faults.push(fault(format!(
                    "found {found:?}, which begins no word of the language"
                )));
            }
        }
    }
    (tokens, faults)
}
