//! Guards against a configuration that patches let grow beyond what a message between core processes can carry: once it
//! was accepted, no change and no read of the register would ever complete again.

mod support;
use sagetrail_protocol::node::Method;
use support::cluster::Cluster;
use support::requests::config;

/// The length of the text that each patch adds, in bytes. The body of a patch may have 4 MiB.
const ADDED_BYTES: usize = 3 << 20;
/// The number of patches, which together add more than a message can carry.
const PATCHES: u64 = 8;
/// The time for a change, in milliseconds.
const CHANGE_MS: u64 = 2_000;

fn patch(version: u64) -> String {
    let path = "x".repeat(ADDED_BYTES);
    format!(
        r#"{{"version":{version},"upsert":{{"services":[{{"name":"added-{version}","health_path":"/{path}","max_conns":1,"protocol":"h1","tls":false,"preconditions":false}}]}}}}"#
    )
}

#[test]
fn a_patch_that_makes_the_configuration_too_long_is_refused_and_the_register_works_on() {
    let mut cluster = Cluster::bootstrapped(3, 4_000);
    let first = cluster.http(0, Method::Post, "/v1/config/replace", Some(0), &config(1));
    cluster.run(CHANGE_MS);
    assert_eq!(cluster.status(first), 200);
    let mut version = 1;
    let mut refused = 0;
    for _ in 0..PATCHES {
        let number = cluster.http(
            0,
            Method::Post,
            "/v1/config/patch",
            Some(version),
            &patch(version + 1),
        );
        cluster.run(CHANGE_MS);
        match cluster.status(number) {
            200 => version += 1,
            400 => refused += 1,
            status => panic!("status {status} at version {version}"),
        }
    }
    assert!(
        refused > 0 && version > 1,
        "{refused} refused, version {version}"
    );
    let base = Some(version);
    let body = config(version + 1);
    let short = cluster.http(1, Method::Post, "/v1/config/replace", base, &body);
    cluster.run(CHANGE_MS);
    assert_eq!(cluster.status(short), 200);
}
