//! The protocols on the supervisor's sockets: framing, messages, and the reasons for which connections end.

pub mod disconnect;
pub mod http;
pub mod lines;
pub mod messages;
