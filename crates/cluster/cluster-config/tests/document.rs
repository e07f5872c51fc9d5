//! Guards against configurations that lose unknown fields, are accepted although they are invalid, or route a request
//! by a prefix other than the longest one at its host.

mod common;

use serde_json::{json, Value};

use sagetrail_cluster_config::{ConfigDocument, ConfigError};

use common::{body, document, route, service};

fn error_of(value: &Value) -> String {
    ConfigDocument::parse(&body(value))
        .expect_err("the configuration must be rejected")
        .to_string()
}

#[test]
fn missing_optional_fields_have_defaults() {
    let config = ConfigDocument::parse(&body(&document(3))).unwrap();
    assert_eq!(config.version, 3);
    assert_eq!(config.limits.max_body_bytes, 262_144);
    assert!(config.routes[0].max_attempts > 0);
    assert!(config.routes[0].extension >= 1.0);
    assert!(!config.service("one").unwrap().preconditions);
    assert!(config.service("three").is_none());
}

#[test]
fn to_bytes_keeps_unknown_fields_and_number_formats() {
    let mut sent = document(3);
    sent["colour"] = json!({"deep": [1, 2.0, null]});
    sent["routes"][0]["extension"] = json!(4.0);
    sent["routes"][0]["future"] = json!(0.123_456_789_012_345_68);
    sent["routes"][1]["extension"] = json!(4);
    sent["services"][0]["max_conns"] = json!(64);
    let back = ConfigDocument::parse(&body(&sent)).unwrap().to_bytes();
    assert_eq!(serde_json::from_slice::<Value>(&back).unwrap(), sent);
    let text = String::from_utf8(back).unwrap();
    assert!(
        text.contains("\"extension\":4.0") && text.contains("\"extension\":4,"),
        "{text}"
    );
}

#[test]
fn the_longest_prefix_at_the_exact_host_matches() {
    let mut sent = document(1);
    let routes = sent["routes"].as_array_mut().unwrap();
    routes.push(route("deep", "a.example", "/one/two/", "two"));
    routes.push(route("other", "b.example", "/", "two"));
    let config = ConfigDocument::parse(&body(&sent)).unwrap();
    let found = |host: &str, path: &str| {
        config
            .route(host, path)
            .map(|found| (found.route.name.clone(), found.rest.to_owned()))
    };
    assert_eq!(
        found("a.example", "/one/abc"),
        Some(("r-one".into(), "abc".into()))
    );
    assert_eq!(
        found("a.example", "/one/two/abc"),
        Some(("deep".into(), "abc".into()))
    );
    assert_eq!(
        found("a.example", "/one/"),
        Some(("r-one".into(), String::new()))
    );
    assert_eq!(
        found("b.example", "/one/x"),
        Some(("other".into(), "one/x".into()))
    );
    assert_eq!(found("a.example", "/on"), None);
    assert_eq!(found("c.example", "/one/abc"), None);
    assert_eq!(found("a.example", "/one\u{e9}"), None);
}

#[test]
fn invalid_configurations_are_rejected_with_the_path_of_the_fault() {
    let whole = body(&document(1));
    assert!(matches!(
        ConfigDocument::parse(&whole[..whole.len() / 2]),
        Err(ConfigError::Unreadable { .. })
    ));
    assert!(matches!(
        ConfigDocument::parse(b"[]"),
        Err(ConfigError::Unreadable { .. })
    ));
    assert!(matches!(
        ConfigDocument::parse(b""),
        Err(ConfigError::Unreadable { .. })
    ));
    type Fault = fn(&mut Value);
    let faults: [(Fault, &str); 13] = [
        (
            |sent| sent["routes"][1]["timeout_ms"] = json!(0),
            "routes[1].timeout_ms: must be above 0",
        ),
        (
            |sent| sent["routes"][1]["service"] = json!("gone"),
            "routes[1].service: no service is named gone",
        ),
        (
            |sent| sent["routes"][1]["path_prefix"] = json!("/one/"),
            "routes[1].path_prefix: shares host and prefix",
        ),
        (
            |sent| sent["routes"][1]["name"] = json!("r-one"),
            "routes[1].name: r-one is there twice",
        ),
        (
            |sent| sent["routes"][0]["host"] = json!(""),
            "routes[0].host: must not be empty",
        ),
        (
            |sent| sent["routes"][0]["path_prefix"] = json!(""),
            "routes[0].path_prefix: must not be empty",
        ),
        (
            |sent| sent["services"][1]["name"] = json!("one"),
            "services[1].name: one is there twice",
        ),
        (
            |sent| sent["routes"][0]["timeout_ms"] = json!("soon"),
            "routes[0]: ",
        ),
        (|sent| sent["routes"][0] = json!(7), "routes[0]: "),
        (|sent| sent["routes"] = json!({}), "routes: must be a list"),
        (
            |sent| sent["services"] = Value::Null,
            "services: must be a list",
        ),
        (
            |sent| sent["version"] = json!(-1),
            "version: must be a whole number",
        ),
        (
            |sent| sent["limits"] = json!({"max_body_bytes": -4}),
            "limits: ",
        ),
    ];
    for (fault, expected) in faults {
        let mut sent = document(1);
        fault(&mut sent);
        let message = error_of(&sent);
        assert!(
            message.starts_with(expected),
            "expected an error that starts with {expected}, got {message}"
        );
    }
    for missing in ["version", "routes", "services"] {
        let mut sent = document(1);
        sent.as_object_mut().unwrap().remove(missing);
        assert_eq!(error_of(&sent), format!("{missing}: missing"));
    }
    for missing in ["name", "host", "path_prefix", "timeout_ms", "service"] {
        let mut sent = document(1);
        sent["routes"][0].as_object_mut().unwrap().remove(missing);
        assert!(error_of(&sent).contains(missing), "{missing}");
    }
}

#[test]
fn each_of_four_hundred_routes_is_found_by_its_prefix() {
    let mut sent = document(1);
    sent["routes"] = (0..400)
        .map(|number| {
            route(
                &format!("r-{number}"),
                "a.example",
                &format!("/p{number}/"),
                "one",
            )
        })
        .collect();
    sent["services"] = json!([service("one")]);
    let config = ConfigDocument::parse(&body(&sent)).unwrap();
    for number in 0..400 {
        let path = format!("/p{number}/0123");
        let found = config.route("a.example", &path).unwrap();
        assert_eq!(
            (found.route.name.as_str(), found.rest),
            (format!("r-{number}").as_str(), "0123")
        );
    }
}

#[test]
fn a_route_is_found_by_its_name() {
    let config = ConfigDocument::parse(&body(&document(3))).unwrap();
    for route in &config.routes {
        assert_eq!(config.route_named(&route.name), Some(route));
    }
    assert_eq!(config.route_named("r-none"), None);
}
