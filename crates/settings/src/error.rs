//! Errors of reading settings.

/// A reason why settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The text is JSON, but not an object.
    #[error("the settings are not a JSON object")]
    NotAnObject,
}

/// Compares the messages, since [`serde_json::Error`] does not implement [`PartialEq`].
impl PartialEq for SettingsError {
    fn eq(&self, other: &Self) -> bool {
        self.to_string() == other.to_string()
    }
}
