//! Valid and invalid configurations: their values, findings, layers and units.

use sagetrail_settings::*;
use serde_json::json;

const GOOD: &str = r#"
name = "a1"
listen = "127.0.0.1:9000"
discovery = "127.0.0.1:8500"
zones = ["north", "south"]
zone = "south"
[limits]
sockets = 512
dial = "0.5s"
[[categories]]
name = "render"
repeat = "rerunnable"
due = "500ms"
expiry = "4s"
[[categories]]
name = "pay"
repeat = "ticketed"
group = "zone"
[fleet]
name = "f"
listen = "127.0.0.1:7001"
caps = { pay = 3 }
resends = 20
[[fleet.members]]
name = "a1"
site = "north"
at = "127.0.0.1:7001"
[[fleet.members]]
name = "a2"
site = "south"
at = "10.0.0.2:7001"
"#;

fn read_text(text: &str) -> Result<Configuration, Vec<String>> {
    read(&Layers {
        file: "f".to_string(),
        text: text.to_string(),
        ..Layers::default()
    })
}

fn faults(from: &str, to: &str) -> Vec<String> {
    assert!(GOOD.contains(from), "{from}");
    read_text(&GOOD.replacen(from, to, 1)).expect_err(to)
}

#[test]
fn a_valid_configuration_yields_the_page_of_the_platform() {
    let read = read_text(GOOD).unwrap();
    let settings = &read.page["settings"];
    assert_eq!(read.page["limits"], json!({"sockets": 512}));
    assert_eq!(settings["Limits"]["DialTimeoutUs"], json!(500_000));
    assert_eq!(settings["Zone"], json!(1));
    assert_eq!(settings["Categories"][0]["DueTimeUs"], json!(500_000));
    assert_eq!(
        settings["Categories"][1]["Repeat"],
        json!("idempotency_key")
    );
    assert_eq!(settings["Categories"][1]["DedupScope"], json!("zone"));
    let fleet = read.fleet.unwrap();
    assert_eq!(
        (
            fleet.own_index,
            fleet.members.len(),
            fleet.caps["pay"],
            fleet.max_resends
        ),
        (0, 2, 3, Some(20))
    );
    assert!(read.trial.is_none() && !read.json_log);
}

#[test]
fn all_faults_are_reported_at_once_with_position_and_reason() {
    assert_eq!(
        faults("dial =", "dail ="),
        ["f:9: limits.dail: not a key; did you mean 'dial'?"]
    );
    assert_eq!(
        faults("[limits]", "[limit]")[0],
        "f:7: limit: not a key; did you mean 'limits'?"
    );
    let findings = faults(
        "sockets = 512\ndial = \"0.5s\"",
        "sockets = \"x\"\ndial = \"0.5 parsec\"",
    );
    assert_eq!(findings.len(), 2, "{findings:?}");
    assert!(
        findings[0].starts_with("f:9: limits.dial: \"0.5 parsec\" is no length of time"),
        "{findings:?}"
    );
    assert!(
        findings[1].starts_with("f:8: limits.sockets: \"x\" is not a whole number"),
        "{findings:?}"
    );
    assert!(faults("zone = \"south\"", "zone = \"west\"")[0].contains("'west' is not in zones"));
    assert!(faults("due = \"500ms\"", "due = \"5s\"")[0].contains("after the expiry"));
    assert!(faults("pay = 3", "payy = 3")[0].contains("did you mean 'pay'?"));
    assert!(faults("name = \"a2\"", "name = \"a1\"")[0].contains("stands twice"));
    assert!(faults("10.0.0.2:7001", "8.8.8.8:7001")[0].contains("neither loopback nor a private"));
    assert!(faults("name = \"a1\"", "name = \"a9\"")[0]
        .contains("'a9', this dispatcher, is not among them"));
    assert!(
        faults("name = \"render\"", "name = \"render\"\nname = \"again\"")[0].starts_with("f:12:")
    );
    assert!(faults("[limits]", "[limits")[0].starts_with("f:7:"));
    assert!(read_text("")
        .unwrap_err()
        .iter()
        .any(|line| line.contains("listen: it is missing")));
    assert!(read_text(&"#".repeat(2 << 20)).unwrap_err()[0].contains("no configuration"));
}

#[test]
fn platform_settings_together_with_other_keys_are_rejected() {
    let both = GOOD.replacen("[fleet]", "[settings]\nKinds = []\n[fleet]", 1);
    let findings = read_text(&both).unwrap_err();
    assert!(
        findings
            .iter()
            .any(|line| line.contains("contradicts 'settings'")),
        "{findings:?}"
    );
}

#[test]
fn a_later_layer_takes_precedence() {
    let layers = |environment: &[(&str, &str)], flags: &[&str]| Layers {
        agreed: String::new(),
        file: "f".to_string(),
        text: GOOD.to_string(),
        environment: environment
            .iter()
            .map(|(n, v)| (n.to_string(), v.to_string()))
            .collect(),
        flags: flags.iter().map(|flag| flag.to_string()).collect(),
    };
    let environment = [
        ("SAGETRAIL_LISTEN", "127.0.0.1:1"),
        ("SAGETRAIL_LIMITS__SOCKETS", "99"),
    ];
    let read = read(&layers(
        &environment,
        &["listen=127.0.0.1:2", "fleet.sharing=false"],
    ))
    .unwrap();
    assert_eq!(read.page["listen"], json!("127.0.0.1:2"));
    assert_eq!(read.values["listen"].origin, Origin::Flag);
    assert_eq!(read.page["limits"]["sockets"], json!(99));
    assert!(!read.fleet.unwrap().sharing);
    let findings =
        sagetrail_settings::read(&layers(&[("SAGETRAIL_LISEN", "x")], &["limits"])).unwrap_err();
    assert!(findings[0]
        .contains("environment SAGETRAIL_LISEN: lisen: not a key; did you mean 'listen'?"));
    assert!(findings[1].contains("it is not KEY=VALUE"), "{findings:?}");
}

#[test]
fn only_known_units_are_accepted() {
    for (text, s) in [
        ("250ms", Some(0.25)),
        ("1.5 s", Some(1.5)),
        ("2m", Some(120.0)),
        ("3", None),
        ("-1s", None),
        ("ms", None),
        ("1d", None),
    ] {
        assert_eq!(parse_seconds(text), s, "{text}");
    }
    for (text, n) in [
        ("48MiB", Some(48 << 20)),
        ("512", Some(512)),
        ("1kb", None),
        ("-3", None),
    ] {
        assert_eq!(parse_bytes(text), n, "{text}");
    }
}

#[test]
fn reference_page_and_schema_contain_every_key() {
    let (page, schema) = (reference_page(), schema());
    for key in KEYS {
        assert!(
            page.contains(&format!("| `{}` |", key.path)),
            "{}",
            key.path
        );
    }
    let categories = &schema["properties"]["categories"]["items"]["properties"];
    assert_eq!(
        categories["repeat"]["enum"],
        json!(["rerunnable", "ticketed", "exclusive"])
    );
    assert_eq!(
        schema["properties"]["fleet"]["properties"]["members"]["type"],
        json!("array")
    );
}
