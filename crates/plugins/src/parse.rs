//! The parser. It reports the errors of all top-level items at once: after an error it continues with the next item.
// The errors of the parser library are large, but exist only while one source is parsed.
#![allow(clippy::result_large_err)]

use chumsky::prelude::*;
use chumsky::Stream;

use crate::ast::*;
use crate::diagnostics::{Diagnostic, Span};
use crate::lex::{self, Token};

/// Stack of the parser's thread. Each of the at most [`lex::MAX_NESTING`] nested brackets takes about 30 stack frames.
const STACK_BYTES: usize = 64 << 20;
/// Maximum number of diagnostics for one source.
const MAX_DIAGNOSTICS: usize = 20;

type ParseError = Simple<Token>;

fn spanned<T>(node: T, span: Span) -> Spanned<T> {
    Spanned::new(node, span)
}

fn name() -> impl Parser<Token, Spanned<String>, Error = ParseError> + Clone {
    select! { Token::Name(name) => name }
        .labelled("a name")
        .map_with_span(spanned)
}

/// Parses the name of a field; `state` is allowed, although it is a keyword elsewhere.
fn field_name() -> impl Parser<Token, Spanned<String>, Error = ParseError> + Clone {
    let name = select! {
        Token::Name(name) => name,
        Token::State => "state".to_string(),
    };
    name.labelled("a field name").map_with_span(spanned)
}

fn text() -> impl Parser<Token, Spanned<String>, Error = ParseError> + Clone {
    select! { Token::Text(text) => text }
        .labelled("a text")
        .map_with_span(spanned)
}

fn number() -> impl Parser<Token, Spanned<f64>, Error = ParseError> + Clone {
    // The lexer accepts at most 15 digits on either side of the point, so the number is finite.
    select! { Token::Number(digits) => digits.parse().unwrap_or_default() }
        .labelled("a number")
        .map_with_span(spanned)
}

fn binary(op: Binary) -> impl Fn(Spanned<Expr>, Spanned<Expr>) -> Spanned<Expr> + Clone {
    move |left, right| {
        let span = left.span.start..right.span.end;
        spanned(Expr::Binary(op, Box::new(left), Box::new(right)), span)
    }
}

/// Parses the binary operators of one precedence, left-associative.
fn left_associative(
    operand: impl Parser<Token, Spanned<Expr>, Error = ParseError> + Clone + 'static,
    ops: &[(Token, Binary)],
) -> BoxedParser<'static, Token, Spanned<Expr>, ParseError> {
    let op = choice(
        ops.iter()
            .map(|(token, op)| just(token.clone()).to(*op))
            .collect::<Vec<_>>(),
    );
    operand
        .clone()
        .then(op.then(operand).repeated())
        .foldl(|left, (op, right)| binary(op)(left, right))
        .boxed()
}

fn expression() -> BoxedParser<'static, Token, Spanned<Expr>, ParseError> {
    recursive(|expr: Recursive<Token, Spanned<Expr>, ParseError>| {
        let list = || {
            expr.clone()
                .separated_by(just(Token::Comma))
                .allow_trailing()
        };
        let call = name()
            .then(list().delimited_by(just(Token::Open), just(Token::Close)))
            .map(|(name, arguments)| Expr::Call(name, arguments));
        let set = list()
            .delimited_by(just(Token::OpenSet), just(Token::CloseSet))
            .map(Expr::Set);
        let primary = choice((
            number().map(|number| Expr::Number(number.node)),
            text().map(|text| Expr::Text(text.node)),
            just(Token::True).to(Expr::Bool(true)),
            just(Token::False).to(Expr::Bool(false)),
            call,
            name().map(|name| Expr::Name(name.node)),
            set,
        ))
        .map_with_span(spanned)
        .or(expr
            .clone()
            .delimited_by(just(Token::Open), just(Token::Close)))
        .labelled("an expression")
        .boxed();
        enum Suffix {
            Field(Spanned<String>),
            Index(Spanned<Expr>),
        }
        let field = just(Token::Dot)
            .ignore_then(field_name())
            .map(Suffix::Field);
        let index = expr
            .clone()
            .delimited_by(just(Token::OpenSet), just(Token::CloseSet))
            .map(Suffix::Index);
        let suffixes = field
            .or(index)
            .map_with_span(|suffix, span: Span| (suffix, span))
            .repeated();
        let postfix = primary.then(suffixes).foldl(|object, (suffix, span)| {
            let full_span = object.span.start..span.end;
            match suffix {
                Suffix::Field(field) => spanned(Expr::Field(Box::new(object), field), full_span),
                Suffix::Index(index) => {
                    spanned(Expr::Index(Box::new(object), Box::new(index)), full_span)
                }
            }
        });
        let operator = choice((
            just(Token::Minus).to(Unary::Neg),
            just(Token::Not).to(Unary::Not),
        ));
        let operator = operator.map_with_span(|op, span: Span| (op, span));
        let unary = operator
            .repeated()
            .at_most(4)
            .then(postfix)
            .foldr(|(op, span), operand| {
                let full_span = span.start..operand.span.end;
                spanned(Expr::Unary(op, Box::new(operand)), full_span)
            });
        use Binary::*;
        let product = left_associative(
            unary,
            &[
                (Token::Star, Mul),
                (Token::Slash, Div),
                (Token::Percent, Rem),
            ],
        );
        let sum = left_associative(product, &[(Token::Plus, Add), (Token::Minus, Sub)]);
        let comparison_operators = [
            (Token::Eq, Eq),
            (Token::Ne, Ne),
            (Token::Le, Le),
            (Token::Ge, Ge),
            (Token::Lt, Lt),
            (Token::Gt, Gt),
            (Token::In, In),
        ];
        let comparison = left_associative(sum, &comparison_operators);
        let and = left_associative(comparison, &[(Token::And, And)]);
        left_associative(and, &[(Token::Or, Or)])
    })
    .boxed()
}

fn block() -> BoxedParser<'static, Token, Vec<Stmt>, ParseError> {
    recursive(|block: Recursive<Token, Vec<Stmt>, ParseError>| {
        let expr = expression();
        let let_statement = just(Token::Let)
            .ignore_then(name())
            .then_ignore(just(Token::Assign))
            .then(expr.clone())
            .map(|(name, value)| Stmt::Let(name, value));
        let put = name()
            .then(
                expr.clone()
                    .delimited_by(just(Token::OpenSet), just(Token::CloseSet)),
            )
            .then_ignore(just(Token::Assign))
            .then(expr.clone())
            .map(|((name, key), value)| Stmt::Put(name, key, value));
        let assign = name()
            .then_ignore(just(Token::Assign))
            .then(expr.clone())
            .map(|(name, value)| Stmt::Assign(name, value));
        let if_arm = just(Token::If)
            .ignore_then(expr.clone())
            .then(block.clone());
        let else_ifs = just(Token::Else).ignore_then(if_arm.clone()).repeated();
        let else_block = just(Token::Else).ignore_then(block.clone()).or_not();
        let if_statement =
            if_arm
                .then(else_ifs)
                .then(else_block)
                .map(|((first, else_ifs), else_block)| {
                    let arms = std::iter::once(first).chain(else_ifs).collect();
                    Stmt::If(arms, else_block.unwrap_or_default())
                });
        let for_statement = just(Token::For)
            .ignore_then(name())
            .then_ignore(just(Token::In))
            .then(expr.clone())
            .then(block)
            .map(|((name, iterable), body)| Stmt::For(name, iterable, body));
        let return_statement = just(Token::Return)
            .map_with_span(|_, span: Span| span)
            .then(expr.clone().or_not())
            .map(|(span, value)| Stmt::Return(span, value));
        let statement = choice((
            let_statement,
            put,
            assign,
            if_statement,
            for_statement,
            return_statement,
            expr.map(Stmt::Expr),
        ))
        .boxed();
        statement
            .repeated()
            .delimited_by(just(Token::OpenBlock), just(Token::CloseBlock))
    })
    .boxed()
}

fn function() -> impl Parser<Token, Function, Error = ParseError> {
    let param = name().then(just(Token::Colon).ignore_then(name()).or_not());
    let params = param
        .separated_by(just(Token::Comma))
        .allow_trailing()
        .delimited_by(just(Token::Open), just(Token::Close));
    let return_type = just(Token::Arrow).ignore_then(name()).or_not();
    name().then(params).then(return_type).then(block()).map(
        |(((name, params), return_type), body)| Function {
            name,
            params,
            return_type,
            body,
        },
    )
}

fn state_kind() -> impl Parser<Token, Spanned<StateKind>, Error = ParseError> {
    let signed = just(Token::Minus).or_not().then(number());
    let signed = signed.map(|(minus, number)| {
        if minus.is_some() {
            -number.node
        } else {
            number.node
        }
    });
    let mean = just(Token::Name("mean".to_string()))
        .ignore_then(number().delimited_by(just(Token::Open), just(Token::Close)))
        .map(|half_life| StateKind::Mean(half_life.node));
    choice((
        signed.map(StateKind::Number),
        just(Token::True).to(StateKind::Bool(true)),
        just(Token::False).to(StateKind::Bool(false)),
        text().map(|text| StateKind::Text(text.node)),
        mean,
        just(Token::Name("map".to_string())).to(StateKind::Map),
    ))
    .labelled("a number, a text, true, false, mean(turns) or map")
    .map_with_span(spanned)
}

fn case() -> impl Parser<Token, Case, Error = ParseError> {
    let path = field_name().separated_by(just(Token::Dot)).at_least(1);
    let given = path.then_ignore(just(Token::Assign)).then(expression());
    let expected = just(Token::Expect)
        .ignore_then(name())
        .then_ignore(just(Token::Eq))
        .then(expression());
    text()
        .then_ignore(just(Token::OpenBlock))
        .then(given.repeated())
        .then(expected.repeated())
        .then_ignore(just(Token::CloseBlock))
        .map(|((name, given), expected)| Case {
            name,
            given,
            expected,
        })
}

fn header() -> impl Parser<Token, (Spanned<String>, Spanned<f64>, Spanned<f64>), Error = ParseError>
{
    just(Token::Plugin)
        .ignore_then(text())
        .then_ignore(just(Token::Version))
        .then(number())
        .then_ignore(just(Token::HostVersion))
        .then(number())
        .then_ignore(end())
        .map(|((name, version), host)| (name, version, host))
}

fn item() -> BoxedParser<'static, Token, Item, ParseError> {
    let steers = just(Token::Steers)
        .ignore_then(text().separated_by(just(Token::Comma)).at_least(1))
        .map(Item::Steers);
    let state = just(Token::State)
        .ignore_then(name())
        .then_ignore(just(Token::Assign))
        .then(state_kind())
        .map(|(name, kind)| Item::State(name, kind));
    let constant = just(Token::Let)
        .ignore_then(name())
        .then_ignore(just(Token::Assign))
        .then(expression())
        .map(|(name, value)| Item::Let(name, value));
    let item = choice((
        steers,
        state,
        constant,
        just(Token::Fn).ignore_then(function()).map(Item::Fn),
        just(Token::Hook).ignore_then(function()).map(Item::Hook),
        just(Token::Case).ignore_then(case()).map(Item::Case),
    ));
    item.then_ignore(end()).boxed()
}

fn diagnostic(source: &str, error: &ParseError, next: Option<&Token>) -> Diagnostic {
    let mut expected: Vec<String> = error
        .expected()
        .flatten()
        .map(ToString::to_string)
        .collect();
    if let Some(label) = error.label() {
        expected = vec![label.to_string()];
    }
    expected.sort();
    expected.dedup();
    expected.truncate(6);
    // At the end of an item, the first token of the next one is what was found.
    let found = error
        .found()
        .or(next)
        .map_or("the end of the source".to_string(), ToString::to_string);
    let message = if expected.is_empty() {
        format!("found {found}, which is not allowed here")
    } else {
        format!("found {found}, expected {}", expected.join(", "))
    };
    Diagnostic::new(source, error.span(), message)
}

type Tokens = Vec<(Token, Span)>;

/// Splits the tokens before each keyword that starts a top-level item, so that an error in one item does not hide errors in
/// the next. These keywords occur nowhere else, except `let` in blocks and `state` as a field name.
fn split_items(tokens: Tokens) -> Vec<Tokens> {
    let (mut items, mut depth, mut after_dot): (Vec<Tokens>, usize, bool) = (Vec::new(), 0, false);
    for (token, span) in tokens {
        let starts_item = match token {
            Token::Hook | Token::Fn | Token::Steers | Token::Case => true,
            Token::State => {
                !after_dot
                    && !matches!(
                        items.last().and_then(|item| item.first()),
                        Some((Token::Case, _))
                    )
            }
            Token::Let => depth == 0,
            _ => false,
        };
        depth = match token {
            _ if starts_item => 0,
            Token::Open | Token::OpenBlock | Token::OpenSet => depth + 1,
            Token::Close | Token::CloseBlock | Token::CloseSet => depth.saturating_sub(1),
            _ => depth,
        };
        after_dot = token == Token::Dot;
        match items.last_mut().filter(|_| !starts_item) {
            Some(item) => item.push((token, span)),
            None => items.push(vec![(token, span)]),
        }
    }
    items
}

fn parse_source(source: &str) -> Result<Plugin, Vec<Diagnostic>> {
    let (tokens, mut diagnostics) = lex::tokenize(source);
    if tokens.is_empty() && !diagnostics.is_empty() {
        return Err(diagnostics);
    }
    let source_end = source.len()..source.len();
    let mut item_tokens = split_items(tokens).into_iter().peekable();
    let stream_of = |tokens: Tokens, next: Option<&Tokens>| {
        let next = next.and_then(|tokens| tokens.first()).cloned();
        let end = next
            .as_ref()
            .map_or(source_end.clone(), |(_, span)| span.clone());
        (
            Stream::from_iter(end, tokens.into_iter()),
            next.map(|(token, _)| token),
        )
    };
    let first = item_tokens
        .next_if(|tokens| matches!(tokens.first(), Some((Token::Plugin, _))) || tokens.len() < 6);
    let (stream, next) = stream_of(first.unwrap_or_default(), item_tokens.peek());
    let header = header().parse(stream).map_err(|errors| {
        diagnostics.extend(
            errors
                .iter()
                .map(|error| diagnostic(source, error, next.as_ref())),
        );
    });
    let (item, mut items) = (item(), Vec::new());
    while let Some(tokens) = item_tokens.next() {
        let (stream, next) = stream_of(tokens, item_tokens.peek());
        match item.parse(stream) {
            Ok(item) => items.push(item),
            Err(errors) => diagnostics.extend(
                errors
                    .iter()
                    .map(|error| diagnostic(source, error, next.as_ref())),
            ),
        }
    }
    diagnostics.sort_by_key(|diagnostic| diagnostic.span.start);
    diagnostics.dedup_by_key(|diagnostic| diagnostic.span.start);
    diagnostics.truncate(MAX_DIAGNOSTICS);
    match header {
        Ok((name, version, host)) if diagnostics.is_empty() => Ok(Plugin {
            name,
            version,
            host,
            items,
        }),
        _ if diagnostics.is_empty() => {
            Err(vec![Diagnostic::new(source, 0..0, "this is not a plug-in")])
        }
        _ => Err(diagnostics),
    }
}

/// Parses a source on a separate thread with a large stack. Any source gives a tree or diagnostics, never a panic.
pub fn parse(source: &str) -> Result<Plugin, Vec<Diagnostic>> {
    let failure = |message: &str| vec![Diagnostic::new(source, 0..0, message)];
    std::thread::scope(|scope| {
        let parser = std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn_scoped(scope, || parse_source(source));
        let Ok(parser) = parser else {
            return Err(failure("the parser thread could not be started"));
        };
        parser
            .join()
            .unwrap_or_else(|_| Err(failure("the parser failed on this source")))
    })
}
