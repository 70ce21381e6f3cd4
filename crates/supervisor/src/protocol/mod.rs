//! The protocols on the supervisor's sockets: framing, messages and disconnect reasons. Only this module maps the names of
//! messages and fields on the wire to the engine's terms.

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
