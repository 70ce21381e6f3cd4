//! Hexadecimal encoding.

/// Encodes each byte as two lowercase hexadecimal digits.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
