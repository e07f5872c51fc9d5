//! Settings: the documented example is accepted, and the error for an invalid field names the field.

use sagetrail_cluster_node::identity::{node_id, seed_nodes};
use sagetrail_cluster_node::settings::{Settings, SettingsError};
use sagetrail_protocol::NodeKind;

const EXAMPLE: &str = include_str!("example-settings.toml");

fn refused(text: &str, kind: NodeKind) -> String {
    Settings::parse(text, kind)
        .expect_err("the settings are invalid")
        .to_string()
}

fn changed(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "{from}");
    EXAMPLE.replace(from, to)
}

#[test]
fn the_documented_example_is_accepted() {
    let settings = Settings::parse(EXAMPLE, NodeKind::Frontend).unwrap();
    let bounds = settings.bounds.to_bounds();
    assert_eq!(bounds.hold_max_ms, 10_000);
    assert_eq!(bounds.grace_s, 6.0);
    assert_eq!(bounds.restore_ms, 100);
    assert_eq!(settings.heartbeat_ms.rounded(), 1500);
    assert_eq!(settings.fault_tolerance.machines, 1);
    assert_eq!(settings.limits.max_fds, 4100);
    assert!(settings.bootstrap);
}

#[test]
fn process_ids_have_the_address_and_the_port_of_the_kind() {
    let settings = Settings::parse(EXAMPLE, NodeKind::Frontend).unwrap();
    assert_eq!(
        node_id(&settings, NodeKind::Core).to_string(),
        "10.1.0.38:7380"
    );
    assert_eq!(
        node_id(&settings, NodeKind::Frontend).to_string(),
        "10.1.0.38:7381"
    );
    assert_eq!(
        node_id(&settings, NodeKind::Side).to_string(),
        "10.1.0.38:7382"
    );
    let seeds: Vec<String> = seed_nodes(&settings)
        .iter()
        .map(|seed| seed.to_string())
        .collect();
    assert_eq!(
        seeds,
        ["10.1.0.42:7380", "10.2.0.44:7380", "10.3.0.10:7380"]
    );
}

#[test]
fn bounds_may_be_fractions_and_may_be_missing() {
    let settings =
        Settings::parse(&changed("grace_s = 6", "grace_s = 5.5"), NodeKind::Frontend).unwrap();
    assert_eq!(settings.bounds.to_bounds().grace_s, 5.5);
    let settings = Settings::parse(&changed("early_ms = 250\n", ""), NodeKind::Frontend).unwrap();
    assert_eq!(settings.bounds.to_bounds().early_ms, 250);
}

#[test]
fn the_error_for_a_value_of_the_wrong_type_names_the_field() {
    let reason = refused(
        &changed("max_fds = 4100", "max_fds = \"many\""),
        NodeKind::Frontend,
    );
    assert!(reason.starts_with("limits.max_fds: "), "{reason}");
    let reason = refused(
        &changed("ip = \"10.1.0.38\"", "ip = \"here\""),
        NodeKind::Frontend,
    );
    assert!(reason.starts_with("ip: "), "{reason}");
    assert_eq!(reason.lines().count(), 1, "{reason}");
}

#[test]
fn the_error_for_a_value_out_of_range_names_the_field() {
    let cases = [
        (
            "port_range = [7380,7395]",
            "port_range = [7380,7381]",
            "port_range: ",
        ),
        ("ip = \"10.1.0.38\"", "ip = \"0.0.0.0\"", "ip: "),
        ("heartbeat_ms = 1500", "heartbeat_ms = 0", "heartbeat_ms: "),
        ("max_fds = 4100", "max_fds = 3", "limits.max_fds: "),
        (
            "contact_ms = 3000",
            "contact_ms = -1",
            "bounds.contact_ms: ",
        ),
    ];
    for (from, to, field) in cases {
        let reason = refused(&changed(from, to), NodeKind::Frontend);
        assert!(reason.starts_with(field), "{reason}");
    }
}

#[test]
fn the_error_for_a_missing_field_names_it() {
    assert!(refused(&changed("ip = \"10.1.0.38\"\n", ""), NodeKind::Frontend).contains("`ip`"));
    let reason = refused(EXAMPLE, NodeKind::Side);
    assert_eq!(reason, "bind_addrs.control: missing");
    let with_control = changed("[bind_addrs]", "[bind_addrs]\ncontrol = \"10.1.0.38:8144\"");
    assert_eq!(refused(&with_control, NodeKind::Core), "data_dir: missing");
}

#[test]
fn the_error_for_a_missing_file_names_it() {
    let path = std::path::Path::new("/nowhere/settings.toml");
    let error = Settings::load(path, NodeKind::Core).expect_err("no file");
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert!(error.to_string().contains("/nowhere/settings.toml"));
}
