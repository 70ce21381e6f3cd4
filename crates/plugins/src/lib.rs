//! The hook language, in which operators write plug-ins. A source text is compiled to bytecode, which a verifier checks and
//! a virtual machine runs with bounded fuel and memory. The result is advice, never orders. This crate does no I/O, reads no
//! clock, and panics on no source text. See `docs/plugins.md` and `docs/plugin-language.md`.

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
