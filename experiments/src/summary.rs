//! The summary of an experiment: means, differences from the baseline, and their confidence intervals.

use std::fmt;

use ivyhatch_lab::{Policy, Report};
use serde::{Serialize, Serializer};

use crate::bootstrap::{Interval, confidence_interval, mean};
use crate::measure::Measure;
use crate::plan::Plan;
use crate::results::Results;

/// The interpretation of a difference from the baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The difference is an improvement.
    Better,
    /// The difference is a regression.
    Worse,
    /// The value is higher, for a measure of which neither direction is better.
    More,
    /// The value is lower, for a measure of which neither direction is better.
    Less,
    /// The confidence interval of the difference includes 0.
    NoDifference,
}

impl Verdict {
    /// The verdict's text in reports and in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Better => "better",
            Self::Worse => "worse",
            Self::More => "more",
            Self::Less => "less",
            Self::NoDifference => "no difference seen",
        }
    }

    /// The verdict on the confidence interval of a measure's difference.
    pub(crate) fn of(measure: Measure, difference: Interval) -> Self {
        let is_more = difference.low > 0.0;
        match measure.more_is_better() {
            _ if !difference.excludes_zero() => Self::NoDifference,
            Some(more_is_better) if more_is_better == is_more => Self::Better,
            Some(_) => Self::Worse,
            None if is_more => Self::More,
            None => Self::Less,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl Serialize for Verdict {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

/// One measure of one variant in one world. The field names are the keys of the JSON summary.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// The world's name.
    pub world: String,
    /// The variant's name.
    pub variant: String,
    /// The measure's name.
    pub measure: &'static str,
    /// Number of runs that have a result.
    pub seeds: usize,
    /// The mean of the measure over these runs; 0 without runs.
    pub mean: f64,
    /// The confidence interval of the mean; `None` with fewer than 5 runs.
    pub interval: Option<Interval>,
    /// The mean of the differences from the baseline, paired by seed; `None` for the baseline itself, and without seeds in common.
    pub difference: Option<f64>,
    /// The confidence interval of the mean difference; `None` with fewer than 5 seeds in common.
    pub difference_interval: Option<Interval>,
    /// The interpretation of the difference; `None` without its confidence interval.
    pub verdict: Option<Verdict>,
}

/// The summary of an experiment. The field names are the keys of the JSON summary.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The experiment's name.
    pub name: String,
    /// The name of the baseline variant.
    pub baseline: String,
    /// Number of runs of the plan.
    pub planned: usize,
    /// Number of runs that have a result.
    pub played: usize,
    /// Number of rule violations by the balancer, of this or another build, over all runs. Violations by reference policies are
    /// allowed and not counted.
    pub module_rules_broken: usize,
    /// The cells, ordered by world, then variant, then measure.
    pub cells: Vec<Cell>,
}

/// The report of a run and its seed.
pub(crate) struct SeedReport<'a> {
    pub(crate) seed: u64,
    pub(crate) report: &'a Report,
}

/// The reports of those runs of one variant in one world that have a result, in the order of their seeds.
pub(crate) fn reports<'a>(
    plan: &Plan,
    results: &'a Results,
    world: usize,
    variant: usize,
) -> Vec<SeedReport<'a>> {
    plan.runs_of(world, variant)
        .filter_map(|run| {
            let report = &results.get(&plan.key(run))?.report;
            Some(SeedReport { seed: run.seed, report })
        })
        .collect()
}

/// Summarises an experiment over the runs that have a result.
pub fn summarise(plan: &Plan, results: &Results) -> Summary {
    let experiment = &plan.experiment;
    let mut cells = Vec::new();
    let (mut played, mut module_rules_broken) = (0, 0);
    for world in 0..plan.worlds.len() {
        let baseline = reports(plan, results, world, plan.baseline);
        for (number, variant) in experiment.variants.iter().enumerate() {
            let runs = reports(plan, results, world, number);
            played += runs.len();
            if variant.policy == Policy::Balancer {
                module_rules_broken += runs.iter().map(|run| run.report.rules_broken).sum::<usize>();
            }
            let compared = (number != plan.baseline).then_some(baseline.as_slice());
            for &measure in &experiment.measures {
                let (world, variant) = (&plan.worlds[world].name, &variant.name);
                cells.push(Cell::new(world, variant, measure, &runs, compared));
            }
        }
    }
    let baseline = experiment.variants[plan.baseline].name.clone();
    let planned = plan.runs().len();
    Summary { name: experiment.name.clone(), baseline, planned, played, module_rules_broken, cells }
}

impl Cell {
    /// The cell of the runs of one variant. `baseline` has the runs of the baseline; `None` if the variant is the baseline.
    fn new(
        world: &str,
        variant: &str,
        measure: Measure,
        runs: &[SeedReport],
        baseline: Option<&[SeedReport]>,
    ) -> Self {
        let values: Vec<f64> = runs.iter().map(|run| measure.of(run.report)).collect();
        let purpose = format!("{world} {variant} {}", measure.name());
        let differences = differences(measure, runs, baseline.unwrap_or_default());
        let difference_interval = confidence_interval(&differences, &format!("{purpose}, difference"));
        Self {
            world: world.to_owned(),
            variant: variant.to_owned(),
            measure: measure.name(),
            seeds: values.len(),
            mean: mean(&values),
            interval: confidence_interval(&values, &purpose),
            difference: (!differences.is_empty()).then(|| mean(&differences)),
            difference_interval,
            verdict: difference_interval.map(|interval| Verdict::of(measure, interval)),
        }
    }
}

/// The differences of a measure from the baseline, for the seeds for which both have a result.
fn differences(measure: Measure, runs: &[SeedReport], baseline: &[SeedReport]) -> Vec<f64> {
    let difference = |run: &SeedReport| {
        let other = baseline.iter().find(|other| other.seed == run.seed)?;
        Some(measure.of(run.report) - measure.of(other.report))
    };
    runs.iter().filter_map(difference).collect()
}
