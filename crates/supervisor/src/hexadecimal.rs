//! Bytes as hexadecimal text.

/// Two lowercase hexadecimal digits for each byte.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
