//! The size of the policy files: the deploy file lists all of them, and each file has one concern.

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// The paths in the `policy` list of the deploy file.
fn policy() -> Vec<String> {
    let text = std::fs::read_to_string(format!("{ROOT}/../deploy/balancer.toml")).unwrap();
    let (_, listed) = text.split_once("policy = [").expect("a list of policy files");
    let (listed, _) = listed.split_once(']').expect("the end of the list of policy files");
    listed.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

/// A longer file has more than one concern. The limit on the lines of the whole module has been withdrawn by
/// its users.
const MAX_FILE_LINES: usize = 400;
/// As set in `rustfmt.toml`; the formatter does not wrap string literals and comments.
const MAX_LINE_COLUMNS: usize = 110;

#[test]
fn each_policy_file_stays_within_its_bounds() {
    for path in policy() {
        let text = std::fs::read_to_string(format!("{ROOT}/../{path}")).unwrap();
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{path}: {lines} lines, at most {MAX_FILE_LINES} allowed");
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(
            widest <= MAX_LINE_COLUMNS,
            "{path}: a line of {widest} columns, at most {MAX_LINE_COLUMNS} allowed"
        );
    }
}

/// A policy file that the deploy file does not list would not be checked against the limits above.
#[test]
fn deploy_file_lists_every_policy_file() {
    let mut named = policy();
    let files = std::fs::read_dir(format!("{ROOT}/src/policy")).unwrap();
    let mut files: Vec<String> = files
        .map(|file| format!("balancer/src/policy/{}", file.unwrap().file_name().to_string_lossy()))
        .collect();
    named.sort();
    files.sort();
    assert_eq!(named, files);
    let text = std::fs::read_to_string(format!("{ROOT}/../deploy/balancer.toml")).unwrap();
    assert!(
        text.lines().any(|line| line.ends_with(r#"target/release/ivyhatch-simulator-adapter""#)),
        "the deploy file does not name the simulator adapter: {text}"
    );
}
