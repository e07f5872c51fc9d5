//! Finds the route of a request by its host and then by the longest matching path prefix.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::error::ConfigError;
use crate::item::Route;

/// The route that matches a request, and the rest of the request's path.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RouteMatch<'a> {
    /// The matching route.
    pub route: &'a Route,
    /// The path after the route's prefix.
    pub rest: &'a str,
}

/// The path prefixes of one host.
#[derive(Clone, PartialEq, Debug, Default)]
struct HostRoutes {
    /// The distinct lengths of the prefixes in bytes, longest first.
    lengths: Vec<usize>,
    /// The position of each route in the document's list, by prefix.
    by_prefix: HashMap<String, usize>,
}

/// The positions of routes in the document's list, by host and prefix.
#[derive(Clone, PartialEq, Debug, Default)]
pub(crate) struct RouteIndex {
    hosts: HashMap<String, HostRoutes>,
}

impl RouteIndex {
    /// Builds the index of `routes`; returns an error if two of them share host and prefix.
    pub(crate) fn build(routes: &[Route]) -> Result<RouteIndex, ConfigError> {
        let mut index = RouteIndex::default();
        for (position, route) in routes.iter().enumerate() {
            let host = index.hosts.entry(route.host.clone()).or_default();
            if let Some(earlier) = host.by_prefix.insert(route.path_prefix.clone(), position) {
                let reason = format!("shares host and prefix with routes[{earlier}]");
                return Err(ConfigError::at(
                    format!("routes[{position}].path_prefix"),
                    reason,
                ));
            }
            host.lengths.push(route.path_prefix.len());
        }
        index.hosts.values_mut().for_each(HostRoutes::sort_lengths);
        Ok(index)
    }

    /// Returns the position of the route for `path` at `host`.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = self.hosts.get(host)?;
        host.lengths
            .iter()
            .filter_map(|length| path.get(..*length))
            .find_map(|prefix| host.by_prefix.get(prefix))
            .copied()
    }
}

impl HostRoutes {
    fn sort_lengths(&mut self) {
        self.lengths.sort_unstable_by_key(|length| Reverse(*length));
        self.lengths.dedup();
    }
}
