//! The deploy files name what a machine needs besides the Rust toolchain.

use std::path::Path;

/// What fetches crates and links a Rust program: certificates, `cc`, the tools that it starts, and the C library.
const NEEDED: [&str; 4] = ["binutils", "ca-certificates", "gcc", "libc6-dev"];

fn packages(file: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../../deploy")
        .join(file);
    let text = std::fs::read_to_string(path).unwrap();
    let deploy: toml::Table = toml::from_str(&text).unwrap();
    assert!(deploy.contains_key("build"), "{file}");
    let named = deploy["packages"].as_array().unwrap();
    named
        .iter()
        .map(|name| name.as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn deploy_files_name_the_packages_of_the_build() {
    for file in ["system.toml", "balancer.toml"] {
        let packages = packages(file);
        for needed in NEEDED {
            assert!(
                packages.iter().any(|name| name == needed),
                "{file} lacks {needed}: {packages:?}"
            );
        }
    }
}

#[test]
fn no_package_is_named_twice() {
    for file in ["system.toml", "balancer.toml"] {
        let mut packages = packages(file);
        let count = packages.len();
        packages.sort();
        packages.dedup();
        assert_eq!(packages.len(), count, "{file}: {packages:?}");
    }
}
