//! The project's own configuration: TOML in layers (file, environment, flags; the later one wins), with units in the
//! text. Unknown keys are refused with the nearest known one, and each finding says where it stands.
//!
//! ```text
//!   Layers (file, environment, flags, agreed settings) ──► read ──► Configuration
//!                                                          │          page: the deploy platform's form, for the
//!   KEYS: every key, its kind, default and bounds ─────────┘                one reader in the program
//!     └──► reference and schema, from the same table                  the parts that form has not
//! ```

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
