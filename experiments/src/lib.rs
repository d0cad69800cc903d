//! Experiments in the lab: worlds, seeds and variants go in; result lines, a summary with confidence intervals and a report
//! come out. And the hunt for worlds on which the module does worst.
//!
//! | file | concern |
//! | --- | --- |
//! | `spec` | what an experiment is, read from TOML and checked |
//! | `results` | result lines on disk, and what an interruption leaves of them |
//! | `run` | plays what is missing, in parallel |
//! | `summary` | measures, means and differences with bootstrap confidence intervals |
//! | `page` | the report: one HTML file with its plots inside |
//! | `hunt` | looks for worlds on which the module does worst, and shrinks them |

mod hunt;
mod page;
mod results;
mod run;
mod spec;
mod summary;

pub use hunt::{Found, Hunt, hunt};
pub use page::page;
pub use results::{Line, Results, ResultsError};
pub use run::{Failure, Progress, run};
pub use spec::{Experiment, Measure, Place, Plan, Run, SpecError, Variant, mark};
pub use summary::{Cell, Interval, Summary, summarise};

/// The experiments that are built in, by name.
pub const BUILT_IN: [(&str, &str); 2] = [
    ("policies", include_str!("../../lab/experiments/policies.toml")),
    ("paper", include_str!("../../lab/experiments/paper.toml")),
];
