//! Errors of reading and writing lines.

/// Why a line could not be read, or an action not be written.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CodecError {
    /// A field that the message requires is absent: the tag, and the field's key.
    #[error("{0}: no {1}")]
    MissingField(String, &'static str),
    /// A field has a value that it can't have: the tag, the field's key and the value.
    #[error("{0}: bad {1} {2:?}")]
    InvalidField(String, &'static str, String),
    /// The settings can't be read.
    #[error("settings: {0}")]
    Settings(#[from] chutegrade_settings::SettingsError),
    /// The wire has no form for an action or for a number in it.
    #[error("action not sendable: {0}")]
    UnsendableAction(String),
}
