//! Malformed messages, and how many of them in a row a connection may deliver.

use crate::protocol::peer_kind::PeerKind;

/// Why a message could not be read. Only [`MalformedMessage::NotAMessage`] means that what follows can't be trusted either.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// A field that the message needs is absent.
    #[error("{message} without {field}")]
    MissingField {
        /// The kind of message.
        message: &'static str,
        /// The field.
        field: &'static str,
    },
    /// A field has a value that it cannot have.
    #[error("{message} with bad {field}")]
    InvalidField {
        /// The kind of message.
        message: &'static str,
        /// The field.
        field: &'static str,
    },
    /// A message that a peer of this kind does not send, or sends only once.
    #[error("unexpected message from a {0}")]
    Unexpected(PeerKind),
    /// The kind has characters that no kind has.
    #[error("no message")]
    NotAMessage,
    /// An endpoint list is no JSON of its form.
    #[error("malformed endpoint list: {0}")]
    EndpointList(String),
}

/// Malformed messages in a row after which a connection is of no further use: at worst half of a good peer's are
/// malformed, and such a row then occurs once in millions.
const MAX_CONSECUTIVE_ERRORS: u32 = 24;

/// Counts a connection's malformed messages in a row. A connection that delivers nothing else is useless, and its peer does
/// not open another one while it lasts.
#[derive(Debug, Default)]
pub struct ErrorBudget {
    consecutive_errors: u32,
}

impl ErrorBudget {
    /// A good message restores the budget.
    pub fn restore(&mut self) {
        self.consecutive_errors = 0;
    }

    /// Spends the budget on one malformed message, and returns the message.
    ///
    /// # Errors
    ///
    /// Once there are too many in a row.
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
