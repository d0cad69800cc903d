//! The fields of the configuration file. Their purposes are printed for operators and matched by golden files, so their texts stay
//! unchanged.

use super::kind::Field;
use super::kind::Kind::{
    self, Address, Boolean, Integer, Labels, Name, NameList, Number, OneOf, Path, Table, TableList,
};
use super::kind::Presence::{self, Default, Optional, Required};

const fn field(name: &'static str, kind: Kind, presence: Presence, purpose: &'static str) -> Field {
    Field { name, kind, presence, purpose }
}

const HOUR_MS: u64 = 3_600_000;

const FLEET: &[Field] = &[
    field("name", Name, Default("\"ivyhatch\""), "the fleet's name, in logs and reports"),
    field("zones", NameList, Required, "all zones that servers or nodes stand in"),
    field("kinds", NameList, Default("[]"), "machine kinds, as the list of servers words them"),
    field("discovery", Address, Required, "where the list of servers is had"),
    field("list", OneOf(&["on_request", "pushed"]), Default("\"on_request\""), "how the list comes"),
    field(
        "reports",
        OneOf(&["pull", "piggyback", "silent"]),
        Default("\"pull\""),
        "how servers tell their load", // wire name
    ),
    field("probe_price", Number(0.0, 1000.0), Default("0.01"), "what a probe costs, in requests"),
    field("marks_repeats", Boolean, Default("false"), "clients mark their repeats"),
    field("worst_class", Number(0.0, 1.0), Default("0.0"), "weight of the worst-served class in the goal"),
    field("worth_by", OneOf(&["request", "work"]), Default("\"request\""), "what a class's worth counts for"),
];

const LIMITS: &[Field] = &[
    field("cores", Number(0.01, 1024.0), Default("1.0"), "of the machine, for one node"),
    field("memory_mb", Integer(32, 1 << 20), Default("192"), "for one node"),
    field("sockets", Integer(32, 1 << 20), Default("1024"), "descriptors of one node"),
    field("attempts", Integer(1, 100), Default("3"), "for one request at most"),
    field("may_cancel", Boolean, Default("true"), "attempts that nobody waits for are withdrawn"),
    field("second_copies", Boolean, Default("true"), "a request may have two attempts out at once"),
    field("probes", Boolean, Default("true"), "servers may be asked for their load"),
    field("longest_pause_ms", Integer(0, HOUR_MS), Default("1000"), "longest Retry-After; 0 for none"),
    field("idle_ms", Integer(1, HOUR_MS), Default("15000"), "servers close a connection idle for so long"),
    field("connect_ms", Integer(1, HOUR_MS), Default("250"), "a connection must be up by then"),
];

const RULES: &[Field] = &[
    field("answer_slack_ms", Integer(0, 10_000), Default("20"), "a final answer may be late by so much"),
    field(
        "drain_grace_ms",
        Integer(0, 1000),
        Default("500"),
        "nothing new to a server so long after its notice",
    ),
    field("start_capacity", Number(0.01, 1.0), Default("0.1"), "what a cold server can do, of a warm one"),
    field("warm_after_ms", Integer(0, HOUR_MS), Default("20000"), "a server is warm by then"),
    field(
        "tip_multiple",
        Number(1.0, 100.0),
        Default("2.5"),
        "a cold server falls over at so many times its capacity",
    ),
    field("fall_ms", Integer(1, HOUR_MS), Default("1500"), "held for so long"),
];

const CLASS: &[Field] = &[
    field("name", Name, Required, "as X-Call-Class has it"),
    field("effect", OneOf(&["repeatable", "by_key", "once"]), Required, "whether it may run twice"),
    field("key_scope", OneOf(&["all", "zone", "cell"]), Optional, "by_key: who discards repeats of one key"),
    field("window_ms", Integer(1, HOUR_MS), Optional, "by_key: for how long they do"),
    field("aim_ms", Integer(1, HOUR_MS), Required, "an answer by then counts"),
    field("deadline_ms", Integer(1, HOUR_MS), Required, "a client waits no longer"),
    field("worth", Number(0.0, 1e6), Default("1.0"), "of one in time"),
    field("late_worth", Number(0.0, 1.0), Default("0.0"), "of one that is late, as a part of that"),
];

const TENANT: &[Field] = &[
    field("name", Name, Required, "as X-Caller has it"),
    field("quota", Number(0.0, 1e9), Required, "requests a second over all nodes"),
];

const LOG: &[Field] = &[
    field(
        "level",
        OneOf(&["error", "warn", "info", "debug", "trace"]),
        Default("\"info\""),
        "what is written",
    ),
    field("format", OneOf(&["text", "json"]), Default("\"text\""), "how"),
];

const AGENT: &[Field] = &[
    field("state", Path, Default("\"ivyhatch-state\""), "directory of what must outlive the agent"),
    field(
        "ready_ms",
        Integer(10, HOUR_MS),
        Default("10000"),
        "a node that starts is ready by then, or is ended",
    ),
    field("drain_ms", Integer(0, HOUR_MS), Default("30000"), "a node that drains is ended by then"),
    field("stop_ms", Integer(10, HOUR_MS), Default("6000"), "a node told to stop is killed after that"), // wire name
    field(
        "silent_ms",
        Integer(100, HOUR_MS),
        Default("3000"),
        "a node that says nothing for so long is unresponsive",
    ),
    field("first_wait_ms", Integer(1, HOUR_MS), Default("200"), "before a crashed node is started again"),
    field(
        "longest_wait_ms",
        Integer(1, HOUR_MS),
        Default("30000"),
        "the same, doubled with each crash up to here",
    ),
    field(
        "crashes",
        Integer(1, 1000),
        Default("5"),
        "so many within crashes_ms are a crash loop: no more starts",
    ),
    field("crashes_ms", Integer(1, 24 * HOUR_MS), Default("60000"), "see crashes"),
];

const INSTANCE: &[Field] = &[
    field("name", Name, Required, "the node's name"),
    field("zone", Name, Required, "where it stands"),
    field(
        "listen",
        Address,
        Default("\"127.0.0.1:0\""),
        "where clients reach it; port 0 for one that the system gives",
    ),
    field("discovery", Address, Optional, "in place of fleet.discovery"),
    field("sockets", Integer(32, 1 << 20), Optional, "in place of limits.sockets"),
    field("memory_mb", Integer(32, 1 << 20), Optional, "in place of limits.memory_mb"),
    field("labels", Labels, Default("{}"), "words that commands select by"),
    field("enabled", Boolean, Default("true"), "whether the agent runs it until told otherwise"), // wire name
];

/// The only version of the schema that this program reads.
pub(crate) const VERSION: u64 = 1;

/// The top-level fields of the configuration file.
pub(crate) const FILE: &[Field] = &[
    field("version", Integer(VERSION, VERSION), Required, "of this form"),
    field("fleet", Table(FLEET), Default("{}"), "what all nodes share"),
    field("limits", Table(LIMITS), Default("{}"), "what a node may take, and do"),
    field("rules", Table(RULES), Default("{}"), "what a node must keep"),
    field("log", Table(LOG), Default("{}"), "what nodes and agent write"),
    field("agent", Table(AGENT), Default("{}"), "how the agent keeps its instances"),
    field("class", TableList(CLASS), Default("[]"), "what is asked"),
    field("tenant", TableList(TENANT), Default("[]"), "whose requests they are"),
    field("instance", TableList(INSTANCE), Default("[]"), "the nodes"),
];
