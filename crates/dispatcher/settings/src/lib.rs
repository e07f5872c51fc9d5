//! The project's own configuration beside the platform's page: TOML, layered file < environment < flags, units in the
//! text, unknown keys refused with the nearest known one, every finding with its place. What it yields is the
//! platform's page in its own form, so that one reader in the program serves both, and the parts the page has not.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod broken;
mod configuration;
mod keys;
mod layers;
mod paths;
mod read;
mod reference;
mod units;

pub use broken::BROKEN;
pub use configuration::{Configuration, Fleet, Member, Recorded, Store, Trial};
pub use keys::{Key, Kind, KEYS};
pub use layers::{Layers, Origin, Value};
pub use paths::nearest;
pub use read::read;
pub use reference::{page, schema};
pub use units::{bytes, seconds};
