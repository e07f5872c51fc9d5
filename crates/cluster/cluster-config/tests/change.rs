//! Guards against replacements and patches that lose or alter values, change other items than they name, or leave an
//! invalid configuration.

mod common;

use std::collections::BTreeMap;

use proptest::prelude::*;
use serde_json::{json, Value};

use sagetrail_cluster_config::{patch_unchecked, ConfigDocument, ConfigError, StoredDocument};

use common::{body, document, route};

fn current() -> ConfigDocument {
    ConfigDocument::replace(0, &body(&document(5))).unwrap()
}

/// Applies a patch to the stored form of a document.
fn apply_patch(config: &ConfigDocument, patch: &[u8]) -> Result<ConfigDocument, ConfigError> {
    let stored = StoredDocument {
        version: config.version,
        json: &config.to_bytes(),
    };
    ConfigDocument::patch(Some(&stored), patch)
}

/// Applies a patch to the parsed JSON of a document, as a model of the implementation, which patches stored JSON.
fn patch_parsed_json(config: &ConfigDocument, patch: &Value) -> Value {
    let mut tree = read_back(config);
    tree["version"] = patch["version"].clone();
    for (key, names) in patch["remove"].as_object().into_iter().flatten() {
        if let Some(items) = tree.get_mut(key).and_then(Value::as_array_mut) {
            items.retain(|item| !names.as_array().unwrap().contains(&item["name"]));
        }
    }
    for (key, change) in patch["upsert"].as_object().into_iter().flatten() {
        let Some(changes) = change.as_array() else {
            for (name, value) in change.as_object().unwrap() {
                tree[key.as_str()][name.as_str()] = value.clone();
            }
            continue;
        };
        if tree[key.as_str()].is_null() {
            tree[key.as_str()] = json!([]);
        }
        let items = tree[key.as_str()].as_array_mut().unwrap();
        for item in changes {
            match items.iter_mut().find(|other| other["name"] == item["name"]) {
                Some(other) => *other = item.clone(),
                None => items.push(item.clone()),
            }
        }
    }
    tree
}

#[test]
fn a_patch_of_stored_json_leaves_the_bytes_of_a_patch_of_parsed_json() {
    let mut sent = document(1);
    sent["unknown"] = json!({"z": [1.5, -0.0, 1e300], "a": "\u{e9}\u{2028}\"\\ \n"});
    sent["notes"] = json!([{"name": "n \"1\"", "text": "x"}, {"text": "no name"}, 7]);
    let config = ConfigDocument::replace(0, &body(&sent)).unwrap();
    let named = |name: &str| route(name, "b.example", &format!("/{}/", name.len()), "one");
    let patches = [
        json!({"version": 2}),
        json!({"version": 2, "remove": {"routes": ["r-one", "absent"], "unknown": ["a"], "absent": ["a"]}}),
        json!({"version": 2, "upsert": {"routes": [named("quoted \"name\""), named("\u{1f40b}")]}}),
        json!({"version": 2, "upsert": {"limits": {"max_body_bytes": 5000, "other": null}}}),
        json!({"version": 2, "upsert": {"new": {"b": 1, "a": 2}, "list": [{"name": "first"}]}}),
        json!({"version": 2, "remove": {"notes": ["n \"1\""]}, "upsert": {"notes": [{"name": "n2"}]}}),
    ];
    for patch in patches {
        let tree = patch_parsed_json(&config, &patch);
        let document = apply_patch(&config, &body(&patch)).unwrap();
        assert_eq!(read_back(&document), tree, "{patch}");
        assert_eq!(document.to_bytes(), serde_json::to_vec(&tree).unwrap());
        let unchecked = patch_unchecked(&config.to_bytes(), &body(&patch)).unwrap();
        assert_eq!(unchecked.document, document.to_bytes());
        assert_eq!(ConfigDocument::parse(&document.to_bytes()), Ok(document));
    }
}

#[test]
fn a_stored_document_is_checked_as_a_sent_one() {
    let mut twice = document(1);
    let first = twice["routes"][0].clone();
    twice["routes"].as_array_mut().unwrap().push(first);
    let mut unnamed = document(1);
    unnamed["routes"][0]["name"] = json!("");
    for wrong in [twice, unnamed, json!({"version": 1}), json!([])] {
        let sent = ConfigDocument::parse(&body(&wrong));
        assert!(sent.is_err());
        assert_eq!(ConfigDocument::parse_stored(&body(&wrong)), sent);
    }
}

fn read_back(config: &ConfigDocument) -> Value {
    serde_json::from_slice(&config.to_bytes()).unwrap()
}

#[test]
fn versions_must_rise() {
    let old = current();
    for version in [4, 5] {
        let rejected = Err(ConfigError::OldVersion {
            version,
            current: 5,
        });
        assert_eq!(
            ConfigDocument::replace(old.version, &body(&document(version))),
            rejected
        );
        assert_eq!(
            apply_patch(&old, &body(&json!({"version": version}))),
            rejected
        );
    }
    assert_eq!(
        ConfigDocument::replace(old.version, &body(&document(9)))
            .unwrap()
            .version,
        9
    );
    assert_eq!(
        apply_patch(&old, &body(&json!({"version": 6})))
            .unwrap()
            .version,
        6
    );
    let zero = ConfigDocument::replace(0, &body(&document(0)));
    assert_eq!(
        zero,
        Err(ConfigError::OldVersion {
            version: 0,
            current: 0
        })
    );
}

#[test]
fn a_patch_needs_a_current_configuration() {
    let rejected = ConfigDocument::patch(None, &body(&json!({"version": 6})));
    assert_eq!(rejected, Err(ConfigError::NothingToPatch));
}

#[test]
fn a_patch_replaces_in_place_adds_at_the_end_and_removes() {
    let changed = route("r-one", "a.example", "/new/", "two");
    let added = route("r-new", "c.example", "/new/", "three");
    let patch = json!({
        "version": 8,
        "upsert": {"routes": [changed, added], "services": [{"name": "three", "tls": true}]},
        "remove": {"routes": ["r-two", "r-unknown"], "services": ["one"], "unknown": ["x"]},
    });
    let config = apply_patch(&current(), &body(&patch)).unwrap();
    let mut expected = document(8);
    expected["routes"] = json!([changed, added]);
    expected["services"] = json!([common::service("two"), {"name": "three", "tls": true}]);
    assert_eq!(read_back(&config), expected);
    assert!(config.route("a.example", "/one/x").is_none());
    assert_eq!(
        config.route("c.example", "/new/x").unwrap().route.name,
        "r-new"
    );
}

#[test]
fn limits_are_changed_field_by_field() {
    let patch = json!({"version": 8, "upsert": {"limits": {"max_body_bytes": 7}}});
    let first = apply_patch(&current(), &body(&patch)).unwrap();
    let patch = json!({"version": 9, "upsert": {"limits": {"idle_timeout_ms": 8}}});
    let second = apply_patch(&first, &body(&patch)).unwrap();
    assert_eq!(
        (second.limits.max_body_bytes, second.limits.idle_timeout_ms),
        (7, 8)
    );
}

#[test]
fn a_patch_with_an_invalid_result_is_rejected() {
    let bad = [
        json!({"version": 8, "remove": {"services": ["one"]}}),
        json!({"version": 8, "upsert": {"routes": [route("x", "a.example", "/one/", "one")]}}),
        json!({"version": 8, "upsert": {"routes": [{"name": "x"}]}}),
        json!({"version": 8, "upsert": {"routes": [{"host": "x"}]}}),
        json!({"version": 8, "upsert": {"routes": 4}}),
        json!({"version": 8, "upsert": {"routes": [route("x", "h", "/p", "one"), route("x", "h", "/q", "one")]}}),
        json!({"version": 8, "upsert": []}),
        json!({"version": 8, "remove": {"routes": [4]}}),
        json!({"version": 8, "remove": {"routes": "r-one"}}),
        json!({"upsert": {}}),
    ];
    for patch in bad {
        let rejected = apply_patch(&current(), &body(&patch));
        assert!(
            matches!(rejected, Err(ConfigError::Invalid { .. })),
            "{patch} gave {rejected:?}"
        );
    }
}

#[derive(Clone, Debug)]
enum Change {
    Upsert(u8, u32),
    Remove(u8),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..12_u8, 1..9000_u32).prop_map(|(name, timeout)| Change::Upsert(name, timeout)),
        (0..12_u8).prop_map(Change::Remove),
    ]
}

fn numbered(name: u8, timeout: u32) -> Value {
    let mut item = route(
        &format!("r-{name}"),
        "a.example",
        &format!("/{name}/"),
        "one",
    );
    item["timeout_ms"] = json!(timeout);
    item["extra"] = json!(f64::from(timeout) / 7.0);
    item
}

proptest! {
    /// Any sequence of patches must give the same items as a map keyed by name, and parsing the resulting JSON must
    /// give the same document.
    #[test]
    fn patches_agree_with_a_map(changes in proptest::collection::vec(change(), 1..40)) {
        let mut first = document(1);
        first["routes"] = json!([]);
        let mut config = ConfigDocument::replace(0, &body(&first)).unwrap();
        let mut model = BTreeMap::new();
        for (position, change) in changes.into_iter().enumerate() {
            let version = 2 + position;
            let patch = match change {
                Change::Upsert(name, timeout) => {
                    model.insert(format!("r-{name}"), numbered(name, timeout));
                    json!({"version": version, "upsert": {"routes": [numbered(name, timeout)]}})
                }
                Change::Remove(name) => {
                    model.remove(&format!("r-{name}"));
                    json!({"version": version, "remove": {"routes": [format!("r-{name}")]}})
                }
            };
            let unchecked = patch_unchecked(&config.to_bytes(), &body(&patch)).unwrap();
            let tree = patch_parsed_json(&config, &patch);
            config = apply_patch(&config, &body(&patch)).unwrap();
            prop_assert_eq!(unchecked.version, config.version);
            prop_assert_eq!(unchecked.document, config.to_bytes());
            prop_assert_eq!(config.to_bytes(), serde_json::to_vec(&tree).unwrap());
            let items = read_back(&config)["routes"].as_array().unwrap().clone();
            let items = items.into_iter().map(|item| (item["name"].as_str().unwrap().to_owned(), item));
            prop_assert_eq!(items.collect::<BTreeMap<_, _>>(), model.clone());
        }
        let again = ConfigDocument::parse(&config.to_bytes()).unwrap();
        prop_assert_eq!(again, config);
    }

    /// The parser must not panic on any input.
    #[test]
    fn arbitrary_bytes_are_parsed_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = ConfigDocument::parse(&bytes);
        let _ = apply_patch(&current(), &bytes);
    }

    /// A document that is truncated at any position must be rejected.
    #[test]
    fn truncated_bodies_are_rejected(cut in 0_usize..300) {
        let whole = body(&document(1));
        prop_assert!(ConfigDocument::parse(&whole[..cut.min(whole.len() - 1)]).is_err());
    }
}
