//! Guards against a summary whose limits differ from those of its document, or whose size grows with the number of
//! routes, so that it would occupy the link of a frontend for too long.

mod common;

use common::{body, document, route};
use sagetrail_cluster_config::{ConfigDocument, ConfigSummary};
use serde_json::json;

#[test]
fn a_summary_has_the_version_and_the_limits_of_its_document() {
    let mut sent = document(7);
    sent["limits"] = json!({"max_body_bytes": 1234});
    let document = ConfigDocument::parse(&body(&sent)).unwrap();
    let summary = ConfigSummary::parse(&body(&sent)).unwrap();
    assert_eq!(summary.version, 7);
    assert_eq!(summary.limits, document.limits);
    assert_eq!(ConfigSummary::parse(&summary.to_bytes()).unwrap(), summary);
}

#[test]
fn a_document_without_limits_has_the_defaults_in_its_summary_too() {
    let sent = body(&document(3));
    let document = ConfigDocument::parse(&sent).unwrap();
    assert_eq!(ConfigSummary::parse(&sent).unwrap().limits, document.limits);
}

#[test]
fn routes_do_not_make_a_summary_longer() {
    let mut sent = document(7);
    let few = ConfigSummary::parse(&body(&sent)).unwrap().to_bytes().len();
    let routes = sent["routes"].as_array_mut().unwrap();
    for number in 0..2_000 {
        let prefix = format!("/{number}/");
        routes.push(route(
            &format!("r-{number}"),
            "many.example",
            &prefix,
            "one",
        ));
    }
    let many = ConfigSummary::parse(&body(&sent)).unwrap().to_bytes().len();
    assert_eq!(few, many);
}

#[test]
fn a_truncated_summary_or_one_without_a_version_is_rejected() {
    let whole = body(&document(7));
    assert!(ConfigSummary::parse(&whole[..whole.len() - 1]).is_err());
    assert!(ConfigSummary::parse(b"{\"limits\":{}}").is_err());
}
