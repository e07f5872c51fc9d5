//! The deploy files list the packages that a machine needs besides the Rust toolchain. A missing one would fail the
//! build on a new machine.

use std::path::Path;

/// The packages that are needed to fetch crates and link a Rust program: certificates, `cc`, the tools that `cc`
/// starts, and the C library.
const NEEDED: [&str; 4] = ["binutils", "ca-certificates", "gcc", "libc6-dev"];

fn packages(file: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../../deploy")
        .join(file);
    let text = std::fs::read_to_string(path).unwrap();
    let deploy: toml::Table = toml::from_str(&text).unwrap();
    assert!(deploy.contains_key("build"), "{file}");
    let packages = deploy["packages"].as_array().unwrap();
    packages
        .iter()
        .map(|name| name.as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn deploy_files_list_the_packages_that_the_build_needs() {
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
fn no_package_is_listed_twice() {
    for file in ["system.toml", "balancer.toml"] {
        let mut packages = packages(file);
        let count = packages.len();
        packages.sort();
        packages.dedup();
        assert_eq!(packages.len(), count, "{file}: {packages:?}");
    }
}
