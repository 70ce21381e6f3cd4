//! The protocols on the supervisor's sockets: framing, messages, and the reasons for which connections end. The words on
//! the wire are mapped here, once, to the terms of the engine.

pub mod decode;
pub mod disconnect;
pub mod encode;
pub mod endpoint_delivery;
mod fields;
pub mod http;
pub mod line_reader;
pub mod load_report;
pub mod malformed;
