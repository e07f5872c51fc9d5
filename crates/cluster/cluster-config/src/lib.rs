//! The operator's configuration document: its types, checks and changes, and the routing of requests by it.
//!
//! [`ConfigDocument`] stores the JSON as it was sent in addition to the typed items, so that a read returns the same
//! values, including unknown fields. [`ConfigDocument::parse`] parses a full document; [`ConfigDocument::replace`] and
//! [`ConfigDocument::patch`] build the document that follows the current one. A document is valid by construction;
//! [`ConfigError`] contains the path of the first fault. [`ConfigDocument::route`] finds a request's route by its host
//! and then by the longest matching path prefix. [`ConfigSummary`] is the part that processes outside the core use.

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
