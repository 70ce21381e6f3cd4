//! Errors of reading settings.

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The text is JSON, but not an object.
    #[error("no object")]
    NotAnObject,
}

/// [`serde_json::Error`] can't be compared; its text can.
impl PartialEq for SettingsError {
    fn eq(&self, other: &Self) -> bool {
        self.to_string() == other.to_string()
    }
}
