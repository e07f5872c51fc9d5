//! The operator's configuration: types, checks, changes, routes.
