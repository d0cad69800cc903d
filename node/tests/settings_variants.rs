//! Runs the same exchanges with several settings: the node's behaviour must depend on the settings alone.

mod common;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{NodeProcess, config, discovery_target};
use ivyhatch_socket_lab::scripted::{Backend, BackendReply, Client, Discovery, Message, ok, status};
use serde_json::{Value, json};

/// The settings in which the variants differ.
#[derive(Clone, Copy)]
struct SettingsVariant {
    name: &'static str,
    /// The `effect` of the class `order`. With `by_key`, `scope` is the group of backends that recognise its retries.
    effect: &'static str,
    scope: &'static str,
    deadline_ms: u64,
    attempts: u64,
    tenants: bool,
    zones: usize,
    /// Whether probes, cancellations and hedged requests are allowed.
    all_allowed: bool,
    retry_after: bool,
    discovery: &'static str,
}

const VARIANTS: [SettingsVariant; 7] = [
    SettingsVariant {
        name: "as usual",
        effect: "once",
        scope: "all",
        deadline_ms: 3000,
        attempts: 3,
        tenants: true,
        zones: 2,
        all_allowed: true,
        retry_after: true,
        discovery: "pushed",
    },
    SettingsVariant {
        name: "nothing is allowed",
        effect: "once",
        scope: "all",
        deadline_ms: 1500,
        attempts: 1,
        tenants: false,
        zones: 1,
        all_allowed: false,
        retry_after: false,
        discovery: "on_request",
    },
    SettingsVariant {
        name: "deadlines shorter than a connect may take",
        effect: "once",
        scope: "all",
        deadline_ms: 190,
        attempts: 6,
        tenants: false,
        zones: 2,
        all_allowed: true,
        retry_after: true,
        discovery: "on_request",
    },
    SettingsVariant {
        name: "keyed for all",
        effect: "by_key",
        scope: "all",
        deadline_ms: 2000,
        attempts: 3,
        tenants: true,
        zones: 2,
        all_allowed: false,
        retry_after: true,
        discovery: "pushed",
    },
    SettingsVariant {
        name: "keyed for a zone",
        effect: "by_key",
        scope: "zone",
        deadline_ms: 2000,
        attempts: 6,
        tenants: true,
        zones: 2,
        all_allowed: true,
        retry_after: false,
        discovery: "pushed",
    },
    SettingsVariant {
        name: "keyed for a cell",
        effect: "by_key",
        scope: "cell",
        deadline_ms: 1200,
        attempts: 3,
        tenants: false,
        zones: 1,
        all_allowed: true,
        retry_after: true,
        discovery: "on_request",
    },
    SettingsVariant {
        name: "one zone, one attempt, keyed",
        effect: "by_key",
        scope: "all",
        deadline_ms: 160,
        attempts: 1,
        tenants: false,
        zones: 1,
        all_allowed: false,
        retry_after: true,
        discovery: "pushed",
    },
];

impl SettingsVariant {
    fn config(&self, discovery: &Discovery) -> Value {
        let mut config = config(discovery.address, json!([]));
        let settings = &mut config["settings"];
        let class = |name: &str, effect: &str| {
            json!({"name": name, "effect": effect, "key-scope": self.scope, "window-ns": 10_000_000_000u64,
                "on-time-ns": self.deadline_ms * 700_000, "deadline-ns": self.deadline_ms * 1_000_000,
                "importance": 3.5})
        };
        settings["classes"] = json!([class("look", "repeatable"), class("order", self.effect)]);
        settings["zones"] = json!((0..self.zones).map(|n| ["a", "b"][n]).collect::<Vec<_>>());
        settings["discovery"] = json!(self.discovery);
        if !self.tenants {
            settings["projects"] = json!([]);
        }
        let limits = &mut settings["policy-limits"];
        limits["attempts-cap"] = json!(self.attempts);
        limits["retry-after"] = json!(self.retry_after);
        for allowed in ["may-cancel", "second-copies", "probes"] {
            limits[allowed] = json!(self.all_allowed);
        }
        config
    }

    /// A node with `backends`. Each one is in a cell of its own; with two zones all but the first are in the second zone.
    fn node(&self, backends: &[&Backend]) -> (NodeProcess, Discovery) {
        let listed = |(n, backend): (usize, &&Backend)| {
            let mut target = discovery_target(&format!("s-{n}"), backend.address, "Ready");
            target["az"] = json!(if n > 0 && self.zones > 1 { "b" } else { "a" });
            target["pod_group"] = json!(n);
            target
        };
        let discovery = Discovery::new(backends.iter().enumerate().map(listed).collect());
        let node = NodeProcess::start(&self.config(&discovery));
        discovery.wait_for_watch_from(1);
        (node, discovery)
    }

    fn tenant(&self) -> &'static str {
        if self.tenants { "X-Caller: acme\r\n" } else { "" }
    }

    fn look(&self, id: &str, budget: u64) -> String {
        format!(
            "GET /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: look\r\n{}X-Budget-Ms: {budget}\r\n\r\n",
            self.tenant()
        )
    }

    fn order(&self, id: &str, budget: u64) -> String {
        let key = if self.effect == "by_key" { "Idempotency-Key: k\r\n" } else { "" };
        format!(
            "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: order\r\n{}{key}X-Budget-Ms: {budget}\r\n\
             Content-Length: 0\r\n\r\n",
            self.tenant()
        )
    }

    /// Whether an order that may have run at one backend may be sent to the other.
    fn may_repeat(&self) -> bool {
        self.attempts > 1
            && self.effect == "by_key"
            && (self.scope == "all" || self.scope == "zone" && self.zones == 1)
    }

    /// Whether an order that may have run may be rejected, which signals that a retry does no harm.
    fn may_reject(&self) -> bool {
        self.effect == "by_key" && self.scope == "all"
    }

    fn assert_rejection(&self, answer: &Message) {
        assert!([429, 503].contains(&answer.status()), "{}: {answer:?}", self.name);
        assert!(self.retry_after || answer.value("retry-after").is_none(), "{}: {answer:?}", self.name);
    }
}

/// Runs `test` for each variant, in parallel.
fn for_each_variant(test: impl Fn(SettingsVariant) + Send + Sync + 'static) {
    let test = Arc::new(test);
    let threads = VARIANTS.map(|variant| {
        let test = test.clone();
        (variant.name, thread::spawn(move || test(variant)))
    });
    for (name, thread) in threads {
        assert!(thread.join().is_ok(), "variant {name}");
    }
}

fn backend_replying(reply: BackendReply) -> Backend {
    Backend::new(move |_| reply.clone())
}

#[test]
fn valid_requests_are_served_once_and_invalid_ones_are_rejected() {
    for_each_variant(|variant| {
        let backend = backend_replying(BackendReply::Write(ok("yes")));
        let (node, _discovery) = variant.node(&[&backend]);
        let good = [variant.look("g1", variant.deadline_ms), variant.order("g2", variant.deadline_ms)];
        for text in &good {
            let answer = node.round_trip(text);
            assert_eq!(
                (answer.status(), answer.body.as_slice()),
                (200, b"yes".as_slice()),
                "{}",
                variant.name
            );
        }
        assert_eq!(backend.drain_requests(), 2, "{}", variant.name);
        let bad = [good[0].replace("look", "lock"), good[1].replace("X-Budget-Ms", "X-No-Budget")];
        for text in bad.iter().chain([good[0].replace("acme", "nobody")].iter().filter(|_| variant.tenants)) {
            assert_eq!(node.round_trip(text).status(), 400, "{}: {text}", variant.name);
        }
        assert_eq!(backend.drain_requests(), 0, "{}", variant.name);
    });
}

/// A request whose budget is used up by the allowance for the network must be rejected at once, without being forwarded.
#[test]
fn request_without_budget_is_rejected_at_once() {
    for_each_variant(|variant| {
        let backend = backend_replying(BackendReply::Write(ok("yes")));
        let (node, _discovery) = variant.node(&[&backend]);
        for (n, budget) in [0, 1, 3].into_iter().enumerate() {
            variant.assert_rejection(&node.round_trip(&variant.look(&format!("z{n}"), budget)));
            variant.assert_rejection(&node.round_trip(&variant.order(&format!("y{n}"), budget)));
        }
        assert_eq!(backend.drain_requests(), 0, "{}", variant.name);
    });
}

/// A request that its backend has rejected has not run: it may be sent to the other backend if another attempt is allowed, and is
/// rejected otherwise.
#[test]
fn request_that_never_ran_may_go_elsewhere() {
    for_each_variant(|variant| {
        let full = backend_replying(BackendReply::Write(status(503, "X-Rejected: 1\r\n")));
        let serves = backend_replying(BackendReply::Write(ok("yes")));
        let (node, _discovery) = variant.node(&[&full, &serves]);
        let answer = node.round_trip(&variant.order("n1", variant.deadline_ms));
        let attempts = full.drain_requests() + serves.drain_requests();
        assert!(attempts as u64 <= variant.attempts, "{}: {attempts} attempts", variant.name);
        if answer.status() != 200 {
            variant.assert_rejection(&answer);
            assert!(variant.attempts == 1 || variant.deadline_ms < 200, "{}: {answer:?}", variant.name);
        }
    });
}

/// A request that may have run must be retried only if its class allows it, and be rejected only if a retry by the client is safe.
#[test]
fn request_that_may_have_run_is_retried_only_as_its_class_allows() {
    for (n, reply) in [BackendReply::Write(status(500, "")), BackendReply::WriteThenClose(String::new())]
        .into_iter()
        .enumerate()
    {
        for_each_variant(move |variant| {
            let (first, second) = (backend_replying(reply.clone()), backend_replying(reply.clone()));
            let (node, _discovery) = variant.node(&[&first, &second]);
            let answer = node.round_trip(&variant.order("m1", variant.deadline_ms));
            let (at_first, at_second) = (first.drain_requests(), second.drain_requests());
            assert!(at_first + at_second >= 1, "{} {n}: the request was not sent", variant.name);
            assert!(variant.effect != "once" || at_first + at_second == 1, "{} {n}: resent", variant.name);
            let crossed = at_first > 0 && at_second > 0;
            assert!(!crossed || variant.may_repeat(), "{} {n}: retried outside its scope", variant.name);
            assert!((at_first + at_second) as u64 <= variant.attempts, "{} {n}", variant.name);
            match answer.status() {
                502 => {}
                _ => {
                    assert!(variant.may_reject(), "{} {n}: {answer:?}", variant.name);
                    variant.assert_rejection(&answer);
                }
            }
        });
    }
}

/// The backend never responds: each client must get exactly one response, within its budget plus an allowance.
#[test]
fn request_to_a_silent_backend_is_answered_in_time() {
    for_each_variant(|variant| {
        let backend = backend_replying(BackendReply::Never);
        let (node, _discovery) = variant.node(&[&backend]);
        let budget = variant.deadline_ms.min(600);
        for text in [variant.order("s1", budget), variant.look("s2", budget)] {
            let mut client = Client::connect(node.address);
            let sent_at = Instant::now();
            let answer = client.round_trip(&text).expect("an answer");
            let took = sent_at.elapsed();
            assert_ne!(answer.status(), 200, "{}", variant.name);
            // The rules allow 70 ms of delay on sockets; the test allows 500 ms for a loaded machine.
            assert!(took < Duration::from_millis(budget + 500), "{}: {took:?} of {budget} ms", variant.name);
            assert!(
                client.round_trip("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n").is_some(),
                "the connection can be used for another request"
            );
        }
        assert!(backend.drain_requests() <= 2, "{}", variant.name);
    });
}
