//! The module's size: a bound that its users set.

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// The paths under `policy` in the deploy file.
fn policy() -> Vec<String> {
    let text = std::fs::read_to_string(format!("{ROOT}/deploy/balancer.toml")).unwrap();
    let (_, listed) = text.split_once("policy = [").expect("a list of policy files");
    let (listed, _) = listed.split_once(']').expect("its end");
    listed.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn the_module_stays_small() {
    let mut lines = 0;
    for path in policy() {
        let text = std::fs::read_to_string(format!("{ROOT}/{path}")).unwrap();
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= 110, "{path}: a line of {widest} columns");
    }
    assert!(lines <= 1200, "{lines} non-blank lines");
}

/// A decision that stood in a file which the deploy file does not name would escape the bound.
#[test]
fn the_deploy_file_names_the_whole_module() {
    let mut named = policy();
    let files = std::fs::read_dir(format!("{ROOT}/src/policy")).unwrap();
    let mut files: Vec<String> =
        files.map(|file| format!("src/policy/{}", file.unwrap().file_name().to_string_lossy())).collect();
    named.sort();
    files.sort();
    assert_eq!(named, files);
    let text = std::fs::read_to_string(format!("{ROOT}/deploy/balancer.toml")).unwrap();
    assert!(text.lines().any(|line| line.ends_with(r#"target/release/brookfield-wirehost""#)), "{text}");
}
