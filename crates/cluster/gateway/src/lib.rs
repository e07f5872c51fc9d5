//! The clients' gateway: requests passed on to the scheduler, and back.
//!
//! It decides nothing about jobs. It learns who the scheduler is, repeats what may have been lost, and never calls
//! refused what may have been taken.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod core_view;
mod drain;
mod node;
mod pending;
mod relay;
mod requests;
mod response;
mod settings;
mod subscription;

pub use node::GatewayNode;
pub use settings::GatewaySettings;
