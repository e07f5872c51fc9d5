//! The operator's configuration document: its types, checks and changes, and the routing of requests by it.
//!
//! [`ConfigDocument`] keeps the JSON as it was sent beside the typed items, so that a read returns the same values,
//! unknown fields included. [`ConfigDocument::parse`] takes a full document; [`ConfigDocument::replace`] and
//! [`ConfigDocument::patch`] make the next one from the current one. A document is valid by construction;
//! [`ConfigError`] names the path of the first fault. [`ConfigDocument::route`] finds a request's route: host first,
//! then the longest prefix. [`ConfigSummary`] is the part that processes outside the core use.

mod change;
mod document;
mod error;
mod index;
mod item;
mod raw_patch;
mod read;
mod summary;

pub use change::{patch_unchecked, PatchedDocument, StoredDocument};
pub use document::ConfigDocument;
pub use error::ConfigError;
pub use index::RouteMatch;
pub use item::{Limits, Route, ServiceEntry};
pub use summary::ConfigSummary;
