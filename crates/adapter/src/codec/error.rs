//! Errors of the codec.

/// Why a line could not be decoded or an action could not be encoded.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CodecError {
    /// A required field is absent.
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
        /// The value, truncated if it is long.
        value: String,
    },
    /// The tag of a line is not that of an action.
    #[error("{0}: no action of that name")]
    UnknownAction(String),
    /// The settings could not be read.
    #[error("settings: {0}")]
    Settings(#[from] chutegrade_settings::SettingsError),
    /// The wire protocol cannot represent an action or a number in it.
    #[error("action not sendable: {0}")]
    UnsendableAction(String),
}
