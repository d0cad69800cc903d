//! Loading of valid configurations, and of configurations with every kind of error.

use std::path::{Path, PathBuf};

use ivyhatch_config::{Diagnostic, LoadedConfig, Origin, load};
use proptest::prelude::*;

struct Folder(tempfile::TempDir);

impl Folder {
    fn new(files: &[(&str, &str)]) -> Self {
        let folder = Self(tempfile::tempdir().unwrap());
        files.iter().for_each(|(name, text)| std::fs::write(folder.path(name), text).unwrap());
        folder
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn load(&self, environment: &[(&str, &str)]) -> Result<LoadedConfig, Vec<Diagnostic>> {
        let variables = environment.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
        load(&self.path("main.toml"), variables)
    }

    /// The errors of loading as text, without the path of the temporary folder.
    fn errors(&self, environment: &[(&str, &str)]) -> Vec<String> {
        let folder = format!("{}/", self.0.path().display());
        let diagnostics = self.load(environment).expect_err("the configuration has errors");
        diagnostics.iter().map(|diagnostic| diagnostic.to_string().replace(&folder, "")).collect()
    }
}

const VALID: &str = r#"version = 1
[fleet]
zones = ["a", "b"]
discovery = "127.0.0.1:8500"
[[class]]
name = "find"
effect = "repeatable"
aim_ms = 800
deadline_ms = 3000
[[instance]]
name = "n0"
zone = "a"
"#;

/// A file with an error of each kind.
const FAULTY: &str = r#"version = 1
colour = "red"
[fleet]
zones = ["north", "south", "north"]
discovery = "localhost"
  lsit = "pushed"
reports = "pul"
[limits]
sockets = 3
cores = "one"
[[class]]
name = "join race"
effect = "by_key"
aim_ms = 900
deadline_ms = 800
[[class]]
name = "find"
effect = "once"
key_scope = "all"
deadline_ms = -4
[[instance]]
name = "n0\n0"
zone = "nort"
[[instance]]
name = "n1"
listen = "127.0.0.1:9000"
zone = "south"
[[instance]]
name = "n1"
listen = "127.0.0.1:9000"
labels = { tier = 3 }
"#;

#[test]
fn all_errors_are_reported_at_once_with_place_and_expected_value() {
    let folder = Folder::new(&[("main.toml", FAULTY)]);
    let name = "a name of letters, digits, '-', '_' and '.', 64 at most, a letter or digit first";
    let hour = "a whole number from 1 to 3600000";
    let expected = [
        "main.toml:2:1: colour: unknown field; wanted: the fields here are version, fleet, limits, rules, log, agent, class, tenant, instance".to_owned(),
        "main.toml:4:1: fleet.zones: a list of 3; wanted: a list of names, each once".into(),
        "main.toml:5:1: fleet.discovery: \"localhost\"; wanted: an address with a port, as in \"127.0.0.1:9000\"".into(),
        "main.toml:6:3: fleet.lsit: unknown field; wanted: did you mean \"list\"?".into(),
        "main.toml:7:1: fleet.reports: \"pul\"; wanted: did you mean \"pull\"? one of \"pull\", \"piggyback\", \"silent\"".into(),
        "main.toml:9:1: limits.sockets: 3; wanted: a whole number from 32 to 1048576".into(),
        "main.toml:10:1: limits.cores: \"one\"; wanted: a number from 0.01 to 1024".into(),
        "main.toml:11:1: class[0].key_scope: missing; wanted: a value, as the class has effect = \"by_key\"".into(),
        "main.toml:11:1: class[0].window_ms: missing; wanted: a value, as the class has effect = \"by_key\"".into(),
        format!("main.toml:12:1: class[0].name: \"join race\"; wanted: {name}"),
        "main.toml:14:1: class[0].aim_ms: 900; wanted: deadline_ms, 800, at most".into(),
        format!("main.toml:16:1: class[find].aim_ms: missing; wanted: {hour}: an answer by then counts"),
        "main.toml:19:1: class[find].key_scope: \"all\"; wanted: no value, as the class does not have effect = \"by_key\"".into(),
        format!("main.toml:20:1: class[find].deadline_ms: -4; wanted: {hour}"),
        format!("main.toml:22:1: instance[0].name: \"n0\\n0\"; wanted: {name}"),
        "main.toml:23:1: instance[0].zone: \"nort\" is no zone of the fleet; wanted: did you mean \"north\"?".into(),
        format!("main.toml:28:1: instance[n1].zone: missing; wanted: {name}: where it stands"),
        "main.toml:29:1: instance[n1].name: \"n1\" is used twice; wanted: a unique value: main.toml:25:1 has the same one".into(),
        "main.toml:30:1: instance[n1].listen: \"127.0.0.1:9000\" is used twice; wanted: a unique value: main.toml:26:1 has the same one".into(),
        "main.toml:31:1: instance[n1].labels: a table; wanted: words by name, as in { tier = \"front\" }".into(),
    ];
    let errors = folder.errors(&[]);
    for (error, expected) in errors.iter().zip(&expected) {
        assert_eq!(error, expected);
    }
    assert_eq!(errors.len(), expected.len(), "{errors:#?}");
}

#[test]
fn unknown_version_is_the_only_error_reported() {
    let folder = Folder::new(&[("main.toml", "version = 2\nnew_thing = 3\n")]);
    let errors = folder.errors(&[]);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].starts_with("main.toml:1:1: version: this program can't read version 2"), "{errors:?}");
}

#[test]
fn file_takes_precedence_over_what_it_includes() {
    let folder = Folder::new(&[
        ("main.toml", &format!("include = [\"one.toml\", \"./two.toml\"]\n{VALID}[limits]\nsockets = 500\n")),
        ("one.toml", "[limits]\nsockets = 600\nattempts = 4\n[[instance]]\nname = \"n1\"\nzone = \"b\"\n"),
        ("two.toml", "[limits]\nattempts = 5\nidle_ms = 700\n[[instance]]\nname = \"n2\"\nzone = \"b\"\n"),
    ]);
    let loaded = folder.load(&[("IVYHATCH_LIMITS__IDLE_MS", "900")]).expect("valid");
    let limits = &loaded.config.limits;
    assert_eq!((limits.sockets, limits.attempts, limits.idle_ms, limits.memory_mb), (500, 4, 900, 192));
    let names: Vec<&str> = loaded.config.instances.iter().map(|instance| instance.name.as_str()).collect();
    assert_eq!(names, ["n0", "n1", "n2"]);
    assert_eq!(loaded.files, ["main.toml", "one.toml", "two.toml"].map(|name| folder.path(name)));
    let origin = |field: &str| {
        let setting = loaded.settings.iter().find(|setting| setting.field == field).expect(field);
        setting.origin.clone()
    };
    let place = |name, line, column| Origin::File { file: folder.path(name), line, column };
    assert_eq!(origin("limits.sockets"), place("main.toml", 15, 1));
    assert_eq!(origin("limits.attempts"), place("one.toml", 3, 1));
    assert_eq!(origin("instance[n2].zone"), place("two.toml", 6, 1));
    assert_eq!(origin("limits.idle_ms"), Origin::Environment("IVYHATCH_LIMITS__IDLE_MS".into()));
    assert_eq!(origin("limits.memory_mb"), Origin::Default);
}

#[test]
fn impossible_inclusions_are_reported_where_they_are_included() {
    let folder = Folder::new(&[
        ("main.toml", &format!("include = [\"one.toml\",\n  \"gone.toml\", \"broken.toml\"]\n{VALID}")),
        ("one.toml", "include = [\"main.toml\"]\n"),
        ("broken.toml", "[limits\n"),
    ]);
    let errors = folder.errors(&[]);
    assert_eq!(errors.len(), 3, "{errors:?}");
    assert!(
        errors[0].starts_with("main.toml:2:3: include: gone.toml can't be read: No such file"),
        "{errors:?}"
    );
    assert!(
        errors[1].starts_with(
            "one.toml:1:12: include: main.toml includes itself, directly or through other files"
        ),
        "{errors:?}"
    );
    assert!(errors[2].starts_with("broken.toml:1:"), "{errors:?}");
}

#[test]
fn repeated_instance_name_in_another_file_is_an_error() {
    let folder = Folder::new(&[
        ("main.toml", &format!("include = [\"one.toml\"]\n{VALID}")),
        ("one.toml", "[[instance]]\nname = \"n0\"\nzone = \"b\"\n"),
    ]);
    let errors = folder.errors(&[]);
    let expected = "one.toml:2:1: instance[n0].name: \"n0\" is used twice; wanted: a unique value: main.toml:12:1 has the same one";
    assert_eq!(errors, [expected]);
}

#[test]
fn environment_overrides_and_is_validated_like_files() {
    let folder = Folder::new(&[("main.toml", VALID)]);
    let good = [
        ("IVYHATCH_INSTANCE__n0__LISTEN", "127.0.0.1:9000"),
        ("IVYHATCH_FLEET__ZONES", "[\"a\", \"c\"]"),
        ("IVYHATCH_LOG__FORMAT", "json"),
        ("IVYHATCH_FLEET__NAME", "7"),
        ("OTHER", "thing"),
    ];
    let config = folder.load(&good).expect("valid").config;
    assert_eq!(config.instances[0].listen.port(), 9000);
    assert_eq!(
        (config.fleet.zones, config.log.format, config.fleet.name),
        (vec!["a".into(), "c".into()], "json".into(), "7".into())
    );
    let bad = [
        ("IVYHATCH_LIMITS__SOCKET", "500"),
        ("IVYHATCH_LIMITS", "500"),
        ("IVYHATCH_LIMITS__SOCKETS__MOST", "500"),
        ("IVYHATCH_LIMITS__CORES", "fast"),
        ("IVYHATCH_INSTANCE__n9__ZONE", "a"),
    ];
    let mut errors = folder.errors(&bad);
    errors.sort();
    assert_eq!(
        errors,
        [
            "$IVYHATCH_INSTANCE__n9__ZONE: instance.n9: no entry has this name; wanted: did you mean \"n0\"?",
            "$IVYHATCH_LIMITS: limits: can't be set as a whole; wanted: IVYHATCH_LIMITS__FIELD, one of CORES, MEMORY_MB, SOCKETS, ATTEMPTS, MAY_CANCEL, SECOND_COPIES, PROBES, LONGEST_PAUSE_MS, IDLE_MS, CONNECT_MS",
            "$IVYHATCH_LIMITS__CORES: limits.cores: \"fast\"; wanted: a number from 0.01 to 1024",
            "$IVYHATCH_LIMITS__SOCKET: limits.socket: unknown field; wanted: did you mean \"SOCKETS\"?",
            "$IVYHATCH_LIMITS__SOCKETS__MOST: limits.sockets: not a table: it has no fields; wanted: a whole number from 32 to 1048576",
        ]
    );
}

/// The parser of the node settings must accept the node configurations generated from the repository's deploy file, with the values
/// converted to nanoseconds.
#[test]
fn node_configuration_of_the_deploy_file_is_accepted_by_node_settings() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/ivyhatch.toml");
    let keyed = ("IVYHATCH_CLASS__find-race__EFFECT".to_owned(), "by_key".to_owned());
    let more = [("KEY_SCOPE", "zone"), ("WINDOW_MS", "9000")];
    let more = more.map(|(field, value)| (format!("IVYHATCH_CLASS__find-race__{field}"), value.to_owned()));
    let config = load(&file, more.into_iter().chain([keyed])).expect("valid").config;
    assert_eq!(config.instances.len(), 3);
    for instance in &config.instances {
        let configuration = config.node_configuration(instance, 7);
        assert_eq!(configuration["seed"], "0000000000000007");
        let node = ivyhatch_node_settings::parse(&configuration["settings"]).expect("settings");
        let settings = node.balancer;
        assert_eq!((settings.zones, settings.nodes, settings.limits.max_attempts), (3, 3, 3));
        assert_eq!(settings.limits.max_retry_after, 1_000_000_000);
        assert_eq!(settings.classes[0].latency_target, 800_000_000);
        let zone = ivyhatch_balancer::IdempotencyScope::Zone;
        assert_eq!(
            settings.classes[0].idempotency,
            ivyhatch_balancer::Idempotency::Keyed { scope: zone, window: 9_000_000_000 }
        );
        assert!(settings.limits.probes && settings.rules.drain_grace == 500_000_000);
    }
}

/// Prints the time to load configurations of 100 to 10,000 instances; asserts no limit.
#[test]
#[ignore = "a measurement"]
fn loading_cost() {
    for count in [100, 1000, 10_000] {
        let instances = (1..count).map(|n| format!("[[instance]]\nname = \"i{n}\"\nzone = \"b\"\n"));
        let folder = Folder::new(&[("main.toml", &(VALID.to_owned() + &instances.collect::<String>()))]);
        let begun = std::time::Instant::now();
        let loaded = folder.load(&[]).expect("valid");
        println!("{} instances: {:?}", loaded.config.instances.len(), begun.elapsed());
    }
}

proptest! {
    /// Any text is loaded, or its errors are reported at places within the file, each on one line.
    #[test]
    fn any_text_is_loaded_or_reported_within_the_file(cut in 0..VALID.len(), insert in "[\\[\\]a-z=\"0-9 .\n{}-]{0,12}") {
        let text = format!("{}{insert}{}", &VALID[..cut], &VALID[cut..]);
        let folder = Folder::new(&[("main.toml", &text)]);
        for diagnostic in folder.load(&[]).err().unwrap_or_default() {
            let Origin::File { line, column, .. } = diagnostic.origin else { panic!("{diagnostic}") };
            let lines: Vec<&str> = text.split('\n').collect();
            prop_assert!((1..=lines.len()).contains(&line), "{} of {}", line, lines.len());
            prop_assert!(column <= lines[line - 1].chars().count() + 1);
            prop_assert!(!diagnostic.to_string().contains('\n'), "one line");
        }
    }
}
