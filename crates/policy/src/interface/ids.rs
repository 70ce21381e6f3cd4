//! Identifiers of servers, proxies, zones, tables and classes.

/// A server, by an opaque id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
/// A proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u32);
/// A zone: a position in the deployment's list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);
/// A table of servers and weights; or a slice, where keys are partitioned into slices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableId(pub u16);
/// A class of requests: a position in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u8);

/// A set of classes, one bit for each position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassSet(pub u32);

impl ClassSet {
    /// The set with one more class.
    #[must_use]
    pub fn with(self, class: usize) -> Self {
        ClassSet(self.0 | 1u32.checked_shl(class as u32).unwrap_or(0))
    }

    /// Whether the class is in the set.
    pub fn has(self, class: usize) -> bool {
        self.0 & 1u32.checked_shl(class as u32).unwrap_or(0) != 0
    }
}
