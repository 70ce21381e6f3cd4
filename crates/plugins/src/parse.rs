//! Tokens to a tree. Faults are told all at once: after one, reading goes on with the next part.
// The parser library's own faults are large; they live only while one text is read.
#![allow(clippy::result_large_err)]

use chumsky::prelude::*;
use chumsky::Stream;

use crate::ast::*;
use crate::diagnostics::{Diagnostic, Span};
use crate::lex::{self, Token};

/// Stack of the thread that reads a text, in bytes: brackets are nested by at most [`lex::DEPTH_MOST`], each with some 30
/// frames of the parser's.
const STACK: usize = 64 << 20;
/// Faults that are told of one text.
const FAULTS_MOST: usize = 20;

type Faulty = Simple<Token>;

fn at<T>(of: T, span: Span) -> At<T> {
    At::new(of, span)
}

fn name() -> impl Parser<Token, At<String>, Error = Faulty> + Clone {
    select! { Token::Name(name) => name }
        .labelled("a name")
        .map_with_span(at)
}

/// The name of a field, which may be a word of the language elsewhere.
fn word() -> impl Parser<Token, At<String>, Error = Faulty> + Clone {
    let word = select! {
        Token::Name(name) => name,
        Token::State => "state".to_string(),
    };
    word.labelled("the name of a field").map_with_span(at)
}

fn text() -> impl Parser<Token, At<String>, Error = Faulty> + Clone {
    select! { Token::Text(text) => text }
        .labelled("a text")
        .map_with_span(at)
}

fn number() -> impl Parser<Token, At<f64>, Error = Faulty> + Clone {
    // The lexer lets fifteen digits pass on either side, which is always a finite number.
    select! { Token::Number(digits) => digits.parse().unwrap_or_default() }
        .labelled("a number")
        .map_with_span(at)
}

fn both(op: Binary) -> impl Fn(At<Expr>, At<Expr>) -> At<Expr> + Clone {
    move |left, right| {
        let span = left.span.start..right.span.end;
        at(Expr::Binary(op, Box::new(left), Box::new(right)), span)
    }
}

/// One level of operators that lean to the left.
fn level(
    inner: impl Parser<Token, At<Expr>, Error = Faulty> + Clone + 'static,
    ops: &[(Token, Binary)],
) -> BoxedParser<'static, Token, At<Expr>, Faulty> {
    let op = choice(
        ops.iter()
            .map(|(token, op)| just(token.clone()).to(*op))
            .collect::<Vec<_>>(),
    );
    inner
        .clone()
        .then(op.then(inner).repeated())
        .foldl(|left, (op, right)| both(op)(left, right))
        .boxed()
}

fn expression() -> BoxedParser<'static, Token, At<Expr>, Faulty> {
    recursive(|expr: Recursive<Token, At<Expr>, Faulty>| {
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
        let atom = choice((
            number().map(|number| Expr::Number(number.of)),
            text().map(|text| Expr::Text(text.of)),
            just(Token::True).to(Expr::Bool(true)),
            just(Token::False).to(Expr::Bool(false)),
            call,
            name().map(|name| Expr::Name(name.of)),
            set,
        ))
        .map_with_span(at)
        .or(expr
            .clone()
            .delimited_by(just(Token::Open), just(Token::Close)))
        .labelled("a value")
        .boxed();
        enum Tail {
            Field(At<String>),
            Index(At<Expr>),
        }
        let field = just(Token::Dot).ignore_then(word()).map(Tail::Field);
        let index = expr
            .clone()
            .delimited_by(just(Token::OpenSet), just(Token::CloseSet))
            .map(Tail::Index);
        let tails = field
            .or(index)
            .map_with_span(|tail, span: Span| (tail, span))
            .repeated();
        let reach = atom.then(tails).foldl(|of, (tail, span)| {
            let whole = of.span.start..span.end;
            match tail {
                Tail::Field(field) => at(Expr::Field(Box::new(of), field), whole),
                Tail::Index(index) => at(Expr::Index(Box::new(of), Box::new(index)), whole),
            }
        });
        let sign = choice((
            just(Token::Minus).to(Unary::Neg),
            just(Token::Not).to(Unary::Not),
        ));
        let sign = sign.map_with_span(|op, span: Span| (op, span));
        let signed = sign
            .repeated()
            .at_most(4)
            .then(reach)
            .foldr(|(op, span), of| {
                let whole = span.start..of.span.end;
                at(Expr::Unary(op, Box::new(of)), whole)
            });
        use Binary::*;
        let product = level(
            signed,
            &[
                (Token::Star, Mul),
                (Token::Slash, Div),
                (Token::Percent, Rem),
            ],
        );
        let sum = level(product, &[(Token::Plus, Add), (Token::Minus, Sub)]);
        let compares = [
            (Token::Eq, Eq),
            (Token::Ne, Ne),
            (Token::Le, Le),
            (Token::Ge, Ge),
            (Token::Lt, Lt),
            (Token::Gt, Gt),
            (Token::In, In),
        ];
        let compare = level(sum, &compares);
        let and = level(compare, &[(Token::And, And)]);
        level(and, &[(Token::Or, Or)])
    })
    .boxed()
}

fn block() -> BoxedParser<'static, Token, Vec<Stmt>, Faulty> {
    recursive(|block: Recursive<Token, Vec<Stmt>, Faulty>| {
        let expr = expression();
        let make = just(Token::Let)
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
        let arm = just(Token::If)
            .ignore_then(expr.clone())
            .then(block.clone());
        let more = just(Token::Else).ignore_then(arm.clone()).repeated();
        let rest = just(Token::Else).ignore_then(block.clone()).or_not();
        let choose = arm.then(more).then(rest).map(|((first, more), rest)| {
            let arms = std::iter::once(first).chain(more).collect();
            Stmt::If(arms, rest.unwrap_or_default())
        });
        let each = just(Token::For)
            .ignore_then(name())
            .then_ignore(just(Token::In))
            .then(expr.clone())
            .then(block)
            .map(|((name, over), body)| Stmt::For(name, over, body));
        let give = just(Token::Return)
            .map_with_span(|_, span: Span| span)
            .then(expr.clone().or_not())
            .map(|(span, value)| Stmt::Return(span, value));
        let statement = choice((make, put, assign, choose, each, give, expr.map(Stmt::Do))).boxed();
        statement
            .repeated()
            .delimited_by(just(Token::OpenBlock), just(Token::CloseBlock))
    })
    .boxed()
}

fn function() -> impl Parser<Token, Function, Error = Faulty> {
    let param = name().then(just(Token::Colon).ignore_then(name()).or_not());
    let params = param
        .separated_by(just(Token::Comma))
        .allow_trailing()
        .delimited_by(just(Token::Open), just(Token::Close));
    let gives = just(Token::Arrow).ignore_then(name()).or_not();
    name()
        .then(params)
        .then(gives)
        .then(block())
        .map(|(((name, params), gives), body)| Function {
            name,
            params,
            gives,
            body,
        })
}

fn shape() -> impl Parser<Token, At<Shape>, Error = Faulty> {
    let signed = just(Token::Minus).or_not().then(number());
    let signed = signed.map(|(minus, number)| {
        if minus.is_some() {
            -number.of
        } else {
            number.of
        }
    });
    let mean = just(Token::Name("mean".to_string()))
        .ignore_then(number().delimited_by(just(Token::Open), just(Token::Close)))
        .map(|half_life| Shape::Mean(half_life.of));
    choice((
        signed.map(Shape::Number),
        just(Token::True).to(Shape::Bool(true)),
        just(Token::False).to(Shape::Bool(false)),
        text().map(|text| Shape::Text(text.of)),
        mean,
        just(Token::Name("map".to_string())).to(Shape::Map),
    ))
    .labelled("a number, a text, true, false, mean(turns) or map")
    .map_with_span(at)
}

fn case() -> impl Parser<Token, Case, Error = Faulty> {
    let path = word().separated_by(just(Token::Dot)).at_least(1);
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

fn head() -> impl Parser<Token, (At<String>, At<f64>, At<f64>), Error = Faulty> {
    just(Token::Plugin)
        .ignore_then(text())
        .then_ignore(just(Token::Version))
        .then(number())
        .then_ignore(just(Token::HostVersion))
        .then(number())
        .then_ignore(end())
        .map(|((name, version), host)| (name, version, host))
}

fn item() -> BoxedParser<'static, Token, Item, Faulty> {
    let steers = just(Token::Steers)
        .ignore_then(text().separated_by(just(Token::Comma)).at_least(1))
        .map(Item::Steers);
    let state = just(Token::State)
        .ignore_then(name())
        .then_ignore(just(Token::Assign))
        .then(shape())
        .map(|(name, shape)| Item::State(name, shape));
    let fixed = just(Token::Let)
        .ignore_then(name())
        .then_ignore(just(Token::Assign))
        .then(expression())
        .map(|(name, value)| Item::Let(name, value));
    let item = choice((
        steers,
        state,
        fixed,
        just(Token::Fn).ignore_then(function()).map(Item::Fn),
        just(Token::Hook).ignore_then(function()).map(Item::Hook),
        just(Token::Case).ignore_then(case()).map(Item::Case),
    ));
    item.then_ignore(end()).boxed()
}

fn told(source: &str, fault: &Faulty, next: Option<&Token>) -> Diagnostic {
    let mut expected: Vec<String> = fault
        .expected()
        .flatten()
        .map(ToString::to_string)
        .collect();
    if let Some(label) = fault.label() {
        expected = vec![label.to_string()];
    }
    expected.sort();
    expected.dedup();
    expected.truncate(6);
    // The end of a part is where the next one begins.
    let found = fault
        .found()
        .or(next)
        .map_or("the end of the text".to_string(), ToString::to_string);
    let text = if expected.is_empty() {
        format!("found {found}, which cannot stand here")
    } else {
        format!("found {found}, expected {}", expected.join(", "))
    };
    Diagnostic::new(source, fault.span(), text)
}

type Tokens = Vec<(Token, Span)>;

/// Parts of a plug-in, each by its first word: so that a fault in one does not hide those of the next. Words that begin
/// parts occur nowhere else, but for `let` within blocks and `state` as a field.
fn parts(tokens: Tokens) -> Vec<Tokens> {
    let (mut parts, mut depth, mut dot): (Vec<Tokens>, usize, bool) = (Vec::new(), 0, false);
    for (token, span) in tokens {
        let begins = match token {
            Token::Hook | Token::Fn | Token::Steers | Token::Case => true,
            Token::State => {
                !dot && !matches!(
                    parts.last().and_then(|part| part.first()),
                    Some((Token::Case, _))
                )
            }
            Token::Let => depth == 0,
            _ => false,
        };
        depth = match token {
            _ if begins => 0,
            Token::Open | Token::OpenBlock | Token::OpenSet => depth + 1,
            Token::Close | Token::CloseBlock | Token::CloseSet => depth.saturating_sub(1),
            _ => depth,
        };
        dot = token == Token::Dot;
        match parts.last_mut().filter(|_| !begins) {
            Some(part) => part.push((token, span)),
            None => parts.push(vec![(token, span)]),
        }
    }
    parts
}

fn read(source: &str) -> Result<Plugin, Vec<Diagnostic>> {
    let (tokens, mut faults) = lex::tokens(source);
    if tokens.is_empty() && !faults.is_empty() {
        return Err(faults);
    }
    let whole = source.len()..source.len();
    let mut parts = parts(tokens).into_iter().peekable();
    let each = |part: Tokens, next: Option<&Tokens>| {
        let next = next.and_then(|part| part.first()).cloned();
        let end = next
            .as_ref()
            .map_or(whole.clone(), |(_, span)| span.clone());
        (
            Stream::from_iter(end, part.into_iter()),
            next.map(|(token, _)| token),
        )
    };
    let first =
        parts.next_if(|part| matches!(part.first(), Some((Token::Plugin, _))) || part.len() < 6);
    let (stream, next) = each(first.unwrap_or_default(), parts.peek());
    let head = head().parse(stream).map_err(|found| {
        faults.extend(found.iter().map(|fault| told(source, fault, next.as_ref())));
    });
    let (item, mut items) = (item(), Vec::new());
    while let Some(part) = parts.next() {
        let (stream, next) = each(part, parts.peek());
        match item.parse(stream) {
            Ok(item) => items.push(item),
            Err(found) => {
                faults.extend(found.iter().map(|fault| told(source, fault, next.as_ref())))
            }
        }
    }
    faults.sort_by_key(|fault| fault.span.start);
    faults.dedup_by_key(|fault| fault.span.start);
    faults.truncate(FAULTS_MOST);
    match head {
        Ok((name, version, host)) if faults.is_empty() => Ok(Plugin {
            name,
            version,
            host,
            items,
        }),
        _ if faults.is_empty() => Err(vec![Diagnostic::new(source, 0..0, "this is no plug-in")]),
        _ => Err(faults),
    }
}

/// Reads a text. Whatever it holds, reading ends, and tells what is wrong.
pub fn parse(source: &str) -> Result<Plugin, Vec<Diagnostic>> {
    let refused = |text: &str| vec![Diagnostic::new(source, 0..0, text)];
    std::thread::scope(|scope| {
        let reader = std::thread::Builder::new()
            .stack_size(STACK)
            .spawn_scoped(scope, || read(source));
        let Ok(reader) = reader else {
            return Err(refused("no thread to read it"));
        };
        reader
            .join()
            .unwrap_or_else(|_| Err(refused("this text cannot be read")))
    })
}
