//! The operator's configuration: types, checks, changes, routes.
//!
//! A document keeps its JSON as it was sent beside the typed view, so that a read-back gives the same values,
//! unknown fields included.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod change;
mod document;
mod error;
mod index;
mod item;
mod read;

pub use document::ConfigDocument;
pub use error::ConfigError;
pub use index::RouteMatch;
pub use item::{Limits, Route, ServiceEntry};
