//! The full configuration document: parsing, checks, and lookup of routes and services.

use std::collections::HashMap;

use serde::Deserialize;
use validator::Validate;

use crate::error::ConfigError;
use crate::index::{RouteIndex, RouteMatch};
use crate::item::{Limits, Route, ServiceEntry};
use crate::read::{self, Object};

/// A valid configuration. It holds typed fields and, next to them, the JSON with every value as it was sent. Items have
/// unique names, each route names a service of the document, and no two routes share host and prefix.
#[derive(Clone, PartialEq, Debug)]
pub struct ConfigDocument {
    /// The version, which increases with each change.
    pub version: u64,
    /// The routes, in the document's order.
    pub routes: Vec<Route>,
    /// The services, in the document's order.
    pub services: Vec<ServiceEntry>,
    /// Limits on clients' requests.
    pub limits: Limits,
    /// The JSON from which the fields above were parsed.
    json: Vec<u8>,
    route_index: RouteIndex,
    route_positions: HashMap<String, usize>,
    service_positions: HashMap<String, usize>,
}

impl ConfigDocument {
    /// Parses and checks a full configuration.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Unreadable`] or [`ConfigError::Invalid`] for the first fault found.
    pub fn parse(body: &[u8]) -> Result<ConfigDocument, ConfigError> {
        ConfigDocument::from_json(read::object(body)?)
    }

    /// Parses and checks a configuration that [`ConfigDocument::to_bytes`] returned, or the result of patching one.
    /// Unlike [`ConfigDocument::parse`], it does not parse the contents of untyped fields.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ConfigDocument::parse`].
    pub fn parse_stored(json: &[u8]) -> Result<ConfigDocument, ConfigError> {
        let typed: Option<TypedFields> = serde_json::from_slice(json).ok();
        let document = typed
            .filter(TypedFields::has_valid_items)
            .and_then(|typed| typed.into_document(json.to_vec()).ok());
        // On failure the slower parser runs, because its errors name the path of the fault.
        document.map_or_else(|| ConfigDocument::parse(json), Ok)
    }

    /// Returns the configuration as JSON, with each value as it was sent.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.json.clone()
    }

    /// Returns the route of a request. `host` is given without a port and `path` without a query.
    #[must_use]
    pub fn route<'a>(&'a self, host: &str, path: &'a str) -> Option<RouteMatch<'a>> {
        let route = &self.routes[self.route_index.find(host, path)?];
        Some(RouteMatch {
            route,
            rest: &path[route.path_prefix.len()..],
        })
    }

    /// Returns the route with this name.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&Route> {
        self.route_positions
            .get(name)
            .map(|position| &self.routes[*position])
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.service_positions
            .get(name)
            .map(|position| &self.services[*position])
    }

    pub(crate) fn from_json(json: Object) -> Result<ConfigDocument, ConfigError> {
        let typed = TypedFields {
            version: read::version(&json)?,
            routes: read::items(&json, "routes")?,
            services: read::items(&json, "services")?,
            limits: read::limits(&json)?,
        };
        typed.into_document(serde_json::to_vec(&json).unwrap_or_default())
    }
}

/// The fields of the document that are parsed into types.
#[derive(Deserialize)]
struct TypedFields {
    version: u64,
    routes: Vec<Route>,
    services: Vec<ServiceEntry>,
    #[serde(default)]
    limits: Limits,
}

impl TypedFields {
    /// Returns whether each item is valid by itself, without regard to the other items.
    fn has_valid_items(&self) -> bool {
        let routes_are_valid = self.routes.iter().all(|route| route.validate().is_ok());
        routes_are_valid
            && self
                .services
                .iter()
                .all(|service| service.validate().is_ok())
    }

    /// Builds the document from items that are valid by themselves, and checks the rules that span several items.
    /// `json` is the source of the items.
    fn into_document(self, json: Vec<u8>) -> Result<ConfigDocument, ConfigError> {
        let TypedFields {
            version,
            routes,
            services,
            limits,
        } = self;
        read::check_unique_names("routes", routes.iter().map(|route| route.name.as_str()))?;
        read::check_unique_names(
            "services",
            services.iter().map(|service| service.name.as_str()),
        )?;
        let route_index = RouteIndex::build(&routes)?;
        let route_positions = positions_by_name(routes.iter().map(|route| &route.name));
        let service_positions = positions_by_name(services.iter().map(|service| &service.name));
        check_services(&routes, &service_positions)?;
        Ok(ConfigDocument {
            version,
            routes,
            services,
            limits,
            json,
            route_index,
            route_positions,
            service_positions,
        })
    }
}

fn positions_by_name<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<String, usize> {
    names
        .enumerate()
        .map(|(position, name)| (name.clone(), position))
        .collect()
}

fn check_services(routes: &[Route], known: &HashMap<String, usize>) -> Result<(), ConfigError> {
    for (position, route) in routes.iter().enumerate() {
        if !known.contains_key(&route.service) {
            let reason = format!("no service is named {}", route.service);
            return Err(ConfigError::at(
                format!("routes[{position}].service"),
                reason,
            ));
        }
    }
    Ok(())
}
