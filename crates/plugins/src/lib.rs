//! The hook language of chutegrade: what a district's own small rule is written in. A text is compiled to bytecode, which
//! a verifier checks and a machine runs with bounded fuel and memory; what comes of it is advice, never orders. Nothing
//! here does I/O, knows a clock, or panics on any text. See `docs/plugins.md` and `docs/plugin-language.md`.

pub mod ast;
pub mod cases;
pub mod code;
pub mod compile;
pub mod diagnostics;
pub mod format;
pub mod host;
pub mod inputs;
pub mod lex;
pub mod machine;
pub mod parse;
pub mod verify;
pub mod walk;

pub use code::Program;
pub use compile::compile;
pub use diagnostics::Diagnostic;
pub use host::{Advice, Evaluation, Host};
pub use inputs::Inputs;
