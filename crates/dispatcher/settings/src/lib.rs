//! Configuration of the dispatcher: TOML in layers (file, environment, flags; the later one takes precedence), with
//! units in the text. Unknown keys are rejected with a hint at the nearest known one, and each finding has its
//! position.
//!
//! ```text
//!   Layers (file, environment, flags, agreed settings) ──► read ──► Configuration
//!                                                          │          page: the form of the deploy platform, for the
//!   KEYS: every key, its kind, default and bounds ─────────┘                one reader of the program
//!     └──► reference and schema, from the same table                  the parts that this form lacks
//! ```

mod broken;
mod configuration;
mod keys;
mod layers;
mod paths;
mod read;
mod reference;
mod units;

pub use broken::BROKEN_VARIANTS;
pub use configuration::{Configuration, Fleet, Member, Recorded, Store, Trial};
pub use keys::{Key, Kind, KEYS};
pub use layers::{Layers, Origin, Value};
pub use paths::nearest;
pub use read::read;
pub use reference::{reference_page, schema};
pub use units::{parse_bytes, parse_seconds};
