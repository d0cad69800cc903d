//! The deploy files list the Debian packages that a machine needs for a build.

use std::path::Path;

use googletest::prelude::*;

/// The package names that a deploy file lists.
fn packages(file: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy").join(file);
    let text = std::fs::read_to_string(path).expect("the deploy file can be read");
    let parsed: toml::Table = text.parse().expect("the deploy file is TOML");
    let names = parsed
        .get("packages")
        .and_then(toml::Value::as_array)
        .expect("the field `packages` of the deploy file is a list");
    names.iter().map(|name| name.as_str().expect("each package name is a string").to_owned()).collect()
}

#[gtest]
fn both_deploy_files_list_the_packages_needed_for_a_clean_build() {
    for file in ["system.toml", "balancer.toml"] {
        let packages = packages(file);
        expect_that!(packages, not(is_empty()), "{file}");
        // The compiler driver that links, the C library to link against, and the certificates for downloads of dependencies.
        for needed in ["ca-certificates", "gcc", "libc6-dev"] {
            expect_that!(packages, contains(eq(needed)), "{file}");
        }
        for name in &packages {
            expect_that!(
                name,
                matches_regex("[a-z0-9][a-z0-9+.-]+"),
                "{file}: {name:?} is not a Debian package name"
            );
        }
    }
}

#[gtest]
fn every_listed_package_is_documented_for_operators() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operators/system.md");
    let page = std::fs::read_to_string(path).expect("the operators' page can be read");
    for name in packages("system.toml") {
        expect_that!(page, contains_substring(format!("| `{name}` |")));
    }
}
