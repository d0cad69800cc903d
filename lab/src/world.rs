//! What a world is made of.

use serde::Deserialize;

use crate::Nanos;

/// A world, as its file words it. Times without a unit in their name are seconds from the start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// Its name, for reports.
    pub name: String,
    /// How long clients come.
    pub seconds: f64,
    /// Zones; nodes and servers are dealt out to them in turn.
    pub zones: u32,
    /// Instances of the decision module.
    pub nodes: u32,
    /// One way between two zones; a tenth of it within one.
    pub cross_ms: f64,
    /// The list of servers.
    pub discovery: Discovery,
    /// Who asks.
    pub clients: Clients,
    /// The servers, group by group; numbered through from 0.
    pub servers: Vec<Group>,
    /// What goes wrong.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
}

/// How the list of servers reaches the nodes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// A change is told so much later.
    pub lag_ms: u64,
}

/// Who asks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Requests a second over all nodes, without bursts.
    pub rate: f64,
    /// How often a client asks again after a refusal.
    pub repeats: u32,
    /// How long it waits before, unless it is told when to come back.
    pub repeat_after_ms: u64,
    /// What is asked.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests; shares count against their sum.
    pub share: f64,
    /// Work on a core of speed 1, on the mean.
    pub work_ms: f64,
    /// What an answer waits for elsewhere, on the mean; load adds nothing to it.
    pub elsewhere_ms: f64,
    /// An answer within this time counts.
    pub aim_ms: u64,
    /// The client gives up after this time.
    pub deadline_ms: u64,
    /// Worth of one.
    pub worth: f64,
    /// Must not run twice.
    pub once: bool,
}

/// Servers that are alike.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// How many.
    pub count: u32,
    /// Cores of each.
    pub cores: u32,
    /// Speed of a core.
    pub speed: f64,
}

/// Something that goes wrong from one time to another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// From when.
    pub from: f64,
    /// Until when.
    pub to: f64,
    /// Which servers it strikes.
    #[serde(default)]
    pub servers: Vec<u32>,
    /// Which zone it strikes.
    #[serde(default)]
    pub zone: u32,
    /// The part of the machine that a neighbour takes.
    #[serde(default)]
    pub part: f64,
    /// How many times the usual rate a burst brings.
    #[serde(default)]
    pub times: f64,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Another program takes a part of some servers.
    Neighbour,
    /// Some servers answer each request, and each probe, that they have room and refuse the request.
    Liar,
    /// Some servers drain, and leave at the end of it.
    Drain,
    /// Some servers are gone, and come back cold.
    Restart,
    /// A zone is cut off from the others.
    ZoneCut,
    /// More requests come.
    Burst,
}

/// A world that can't be played.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// Its text is no world; says where.
    #[error("{0}")]
    Text(#[from] toml::de::Error),
    /// A figure is out of range.
    #[error("{field}: {value}: {wanted}")]
    Field {
        /// Which.
        field: String,
        /// What it is.
        value: String,
        /// What would be right.
        wanted: &'static str,
    },
}

impl World {
    /// Reads and checks a world.
    ///
    /// # Errors
    /// Where the text is not TOML, a field is unknown, missing or of the wrong type (with line and column), or a
    /// figure is out of range (with the field and what would be right).
    pub fn read(text: &str) -> Result<Self, WorldError> {
        let world: Self = toml::from_str(text)?;
        world.check()?;
        Ok(world)
    }

    fn check(&self) -> Result<(), WorldError> {
        let fail = |field: &str, value: &dyn std::fmt::Display, wanted| {
            Err(WorldError::Field { field: field.to_owned(), value: value.to_string(), wanted })
        };
        let above = |value: f64| value.is_finite() && value > 0.0;
        if !above(self.seconds) || self.seconds > 86_400.0 {
            return fail("seconds", &self.seconds, "above 0, a day at most");
        }
        if self.zones == 0 || self.zones > 1000 {
            return fail("zones", &self.zones, "1 to 1000");
        }
        if self.nodes == 0 || self.nodes > 10_000 {
            return fail("nodes", &self.nodes, "1 to 10000");
        }
        if !(0.0..=10_000.0).contains(&self.cross_ms) {
            return fail("cross_ms", &self.cross_ms, "0 to 10000");
        }
        if !above(self.clients.rate) {
            return fail("clients.rate", &self.clients.rate, "above 0");
        }
        if self.clients.classes.is_empty() {
            return fail("clients.class", &"none", "at least one");
        }
        for class in &self.clients.classes {
            let field = |name: &str| format!("clients.class {:?}: {name}", class.name);
            if !above(class.share) || !above(class.work_ms) || !above(class.worth) {
                let value = format!("{}, {}, {}", class.share, class.work_ms, class.worth);
                return fail(&field("share, work_ms, worth"), &value, "above 0");
            }
            if !(0.0..=60_000.0).contains(&class.elsewhere_ms) {
                return fail(&field("elsewhere_ms"), &class.elsewhere_ms, "0 to 60000");
            }
            if class.aim_ms == 0 || class.aim_ms > class.deadline_ms {
                return fail(&field("aim_ms"), &class.aim_ms, "above 0, at most deadline_ms");
            }
        }
        let count: u64 = self.servers.iter().map(|group| u64::from(group.count)).sum();
        if count == 0 || count > 100_000 {
            return fail("servers.count", &count, "1 to 100000 in all");
        }
        for group in &self.servers {
            if group.cores == 0 || !above(group.speed) {
                return fail("servers", &format!("{} cores of {}", group.cores, group.speed), "above 0");
            }
        }
        for (number, trouble) in self.trouble.iter().enumerate() {
            let field = |name: &str| format!("trouble {number} ({:?}): {name}", trouble.kind);
            if !(0.0..trouble.to).contains(&trouble.from) {
                return fail(&field("from"), &trouble.from, "from 0, before to");
            }
            if let Some(server) = trouble.servers.iter().find(|server| u64::from(**server) >= count) {
                return fail(&field("servers"), server, "the number of a server, from 0");
            }
            if trouble.kind == Kind::ZoneCut && trouble.zone >= self.zones {
                return fail(&field("zone"), &trouble.zone, "the number of a zone, from 0");
            }
            if trouble.kind == Kind::Neighbour && !(0.0..1.0).contains(&trouble.part) {
                return fail(&field("part"), &trouble.part, "0 up to 1");
            }
            if trouble.kind == Kind::Burst && !above(trouble.times) {
                return fail(&field("times"), &trouble.times, "above 0");
            }
        }
        Ok(())
    }

    /// The servers' groups, one entry a server.
    pub(crate) fn each_server(&self) -> impl Iterator<Item = Group> + '_ {
        self.servers.iter().flat_map(|group| std::iter::repeat_n(*group, group.count as usize))
    }
}

impl Trouble {
    pub(crate) fn span(&self) -> (Nanos, Nanos) {
        (seconds(self.from), seconds(self.to))
    }
}

pub(crate) fn seconds(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}

pub(crate) fn millis(millis: f64) -> Nanos {
    (millis * 1e6) as Nanos
}
