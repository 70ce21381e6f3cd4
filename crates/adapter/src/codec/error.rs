//! Errors of reading and writing lines.

/// Why a line could not be read, or an action could not be written.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CodecError {
    /// A field that the message requires is absent.
    #[error("{tag}: no {key}")]
    MissingField {
        /// Tag of the line.
        tag: String,
        /// Key of the field.
        key: &'static str,
    },
    /// A field has an invalid value.
    #[error("{tag}: bad {key} {value:?}")]
    InvalidField {
        /// Tag of the line.
        tag: String,
        /// Key of the field.
        key: &'static str,
        /// The value, cut off if it is long.
        value: String,
    },
    /// No action has this tag.
    #[error("{0}: no action of that name")]
    UnknownAction(String),
    /// The settings could not be read.
    #[error("settings: {0}")]
    Settings(#[from] chutegrade_settings::SettingsError),
    /// The wire has no form for an action or for a number in it.
    #[error("action not sendable: {0}")]
    UnsendableAction(String),
}
