//! Malformed messages, and the limit on consecutive ones on a connection.

use crate::protocol::peer_kind::PeerKind;

/// Why a message could not be decoded. Only after [`MalformedMessage::NotAMessage`] is the framing lost as well.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// A required field is absent or empty.
    #[error("{message} message without field {field}")]
    MissingField {
        /// Kind of the message.
        message: &'static str,
        /// Name of the field on the wire.
        field: &'static str,
    },
    /// A field has an invalid value.
    #[error("{message} message with invalid field {field}")]
    InvalidField {
        /// Kind of the message.
        message: &'static str,
        /// Name of the field on the wire.
        field: &'static str,
    },
    /// A message that a peer of this kind does not send, or sends only once.
    #[error("unexpected message from a {0}")]
    Unexpected(PeerKind),
    /// The line does not begin with the lowercase letters of a message kind.
    #[error("line is not a message")]
    NotAMessage,
    /// An endpoint list is not JSON of the expected form.
    #[error("malformed endpoint list: {0}")]
    EndpointList(String),
}

impl MalformedMessage {
    /// Returns the kind of the message, if a field of it could not be decoded.
    pub fn message_kind(&self) -> Option<&'static str> {
        match self {
            MalformedMessage::MissingField { message, .. }
            | MalformedMessage::InvalidField { message, .. } => Some(message),
            _ => None,
        }
    }
}

/// Number of consecutive malformed messages at which a connection is closed. At worst half of the messages of a working
/// peer are malformed; such a sequence then occurs once in millions.
const MAX_CONSECUTIVE_ERRORS: u32 = 24;

/// Counts the consecutive malformed messages of a connection. A connection that delivers only malformed messages has to be
/// closed, since its peer does not open another one while it is open.
#[derive(Debug, Default)]
pub struct ErrorBudget {
    consecutive_errors: u32,
}

impl ErrorBudget {
    /// Restores the budget after a valid message.
    pub fn restore(&mut self) {
        self.consecutive_errors = 0;
    }

    /// Counts a malformed message, and returns it.
    ///
    /// # Errors
    ///
    /// If too many malformed messages arrived in a row.
    pub fn spend(
        &mut self,
        malformed: MalformedMessage,
    ) -> Result<MalformedMessage, MalformedMessage> {
        self.consecutive_errors += 1;
        if self.consecutive_errors < MAX_CONSECUTIVE_ERRORS {
            Ok(malformed)
        } else {
            Err(malformed)
        }
    }
}

#[cfg(test)]
mod tests;
