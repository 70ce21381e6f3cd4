//! The protocols on the supervisor's sockets: framing, messages, and the reasons for which connections end. The names of
//! messages and fields on the wire are mapped to the engine's terms here and nowhere else.

pub mod decode;
pub mod disconnect;
pub mod encode;
pub mod endpoint_delivery;
mod fields;
pub mod http;
pub mod line_reader;
pub mod load_report;
pub mod malformed;
pub mod peer_kind;
