//! Errors of the codec.

/// Why a line could not be decoded or an action could not be encoded.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CodecError {
    /// A required field is absent.
    #[error("{tag}: missing field {key}")]
    MissingField {
        /// Tag of the line.
        tag: String,
        /// Key of the field.
        key: &'static str,
    },
    /// A field has an invalid value.
    #[error("{tag}: invalid value {value:?} of field {key}")]
    InvalidField {
        /// Tag of the line.
        tag: String,
        /// Key of the field.
        key: &'static str,
        /// The value, truncated if it is long.
        value: String,
    },
    /// The tag of a line is not that of an action.
    #[error("unknown action {0}")]
    UnknownAction(String),
    /// The settings could not be read.
    #[error("invalid settings: {0}")]
    Settings(#[from] chutegrade_settings::SettingsError),
    /// The wire protocol cannot represent an action or a number in it.
    #[error("cannot encode action: {0}")]
    UnencodableAction(String),
}
