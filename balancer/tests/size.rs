//! The decision module as its users see it: the deploy file names all of it, and each of its files has one
//! concern.

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// The paths under `policy` in the deploy file.
fn policy() -> Vec<String> {
    let text = std::fs::read_to_string(format!("{ROOT}/../deploy/balancer.toml")).unwrap();
    let (_, listed) = text.split_once("policy = [").expect("a list of policy files");
    let (listed, _) = listed.split_once(']').expect("its end");
    listed.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

/// A file beyond this does several jobs. The bound on the whole module's lines has been withdrawn by its
/// users.
const MAX_FILE_LINES: usize = 400;
/// As `rustfmt.toml` sets it; string literals and comments are not wrapped by the formatter.
const MAX_LINE_COLUMNS: usize = 110;

#[test]
fn each_policy_file_stays_within_its_bounds() {
    for path in policy() {
        let text = std::fs::read_to_string(format!("{ROOT}/../{path}")).unwrap();
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{path}: {lines} lines");
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= MAX_LINE_COLUMNS, "{path}: a line of {widest} columns");
    }
}

/// A decision that stood in a file which the deploy file does not name would escape these bounds.
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
        "{text}"
    );
}
