//! The deploy files: what machines need before a build is named in them.

use std::path::Path;

use googletest::prelude::*;

fn packages(file: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy").join(file);
    let text = std::fs::read_to_string(path).expect("the deploy file");
    let parsed: toml::Table = text.parse().expect("TOML");
    let names = parsed.get("packages").and_then(toml::Value::as_array).expect("packages is a list");
    names.iter().map(|name| name.as_str().expect("a name").to_owned()).collect()
}

#[gtest]
fn both_deploy_files_list_the_packages_needed_for_a_clean_build() {
    for file in ["system.toml", "balancer.toml"] {
        let packages = packages(file);
        expect_that!(packages, not(is_empty()), "{file}");
        // The linker's driver, what it links against, and what the fetching of libraries trusts.
        for needed in ["ca-certificates", "gcc", "libc6-dev"] {
            expect_that!(packages, contains(eq(needed)), "{file}");
        }
        for name in &packages {
            expect_that!(name, matches_regex("[a-z0-9][a-z0-9+.-]+"), "{file}: no name of a Debian package");
        }
    }
}

#[gtest]
fn every_listed_package_is_documented_for_operators() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operators/system.md");
    let page = std::fs::read_to_string(path).expect("the page");
    for name in packages("system.toml") {
        expect_that!(page, contains_substring(format!("| `{name}` |")));
    }
}
