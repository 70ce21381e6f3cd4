//! Identifiers of servers, proxies, zones, tables and classes.

/// Opaque id of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
/// Opaque id of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u32);
/// A zone, by its index in the deployment's list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);
/// A table of servers and weights, or a slice where keys are partitioned into slices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableId(pub u16);
/// A class of requests, by its index in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u8);

/// A set of classes, one bit for each index below 32.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassSet(pub u32);

impl ClassSet {
    /// Returns the set with the class added.
    #[must_use]
    pub fn with(self, class: usize) -> Self {
        ClassSet(self.0 | 1u32.checked_shl(class as u32).unwrap_or(0))
    }

    /// Returns whether the class is in the set.
    pub fn has(self, class: usize) -> bool {
        self.0 & 1u32.checked_shl(class as u32).unwrap_or(0) != 0
    }
}
