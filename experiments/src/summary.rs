//! The summary of an experiment: means, differences to the baseline, and their confidence intervals.

use std::fmt;

use ivyhatch_lab::{Policy, Report};
use serde::{Serialize, Serializer};

use crate::bootstrap::{Interval, confidence_interval, mean};
use crate::measure::Measure;
use crate::plan::Plan;
use crate::results::Results;

/// What a difference to the baseline means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The difference is an improvement.
    Better,
    /// The difference is a regression.
    Worse,
    /// There is more of a measure of which neither direction is better.
    More,
    /// There is less of a measure of which neither direction is better.
    Less,
    /// The confidence interval of the difference includes 0.
    NoDifference,
}

impl Verdict {
    /// The verdict in reports and in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Better => "better",
            Self::Worse => "worse",
            Self::More => "more",
            Self::Less => "less",
            Self::NoDifference => "no difference seen",
        }
    }

    /// The verdict on the difference of a measure.
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

/// One measure of one variant in one world. The field names are those of the JSON summary.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// The world's name.
    pub world: String,
    /// The variant's name.
    pub variant: String,
    /// The measure's name.
    pub measure: &'static str,
    /// Runs that have a result.
    pub seeds: usize,
    /// Their mean.
    pub mean: f64,
    /// The confidence interval of the mean; none with fewer than 5 runs.
    pub interval: Option<Interval>,
    /// The mean of the differences to the baseline, seed by seed; none for the baseline itself.
    pub difference: Option<f64>,
    /// The confidence interval of that mean; none with fewer than 5 seeds in common.
    pub difference_interval: Option<Interval>,
    /// What the difference means; none without its interval.
    pub verdict: Option<Verdict>,
}

/// The summary of an experiment. The field names are those of the JSON summary.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The experiment's name.
    pub name: String,
    /// The baseline's name.
    pub baseline: String,
    /// Runs of the plan.
    pub planned: usize,
    /// Runs that have a result.
    pub played: usize,
    /// Rules that the balancer of this or another build has violated in all runs; reference policies may violate them.
    pub module_rules_broken: usize,
    /// World by world, variant by variant, measure by measure.
    pub cells: Vec<Cell>,
}

/// The report of a run, with the run's seed.
pub(crate) struct SeedReport<'a> {
    pub(crate) seed: u64,
    pub(crate) report: &'a Report,
}

/// The reports of one variant in one world, of the runs that have a result, in the order of their seeds.
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
    /// The cell of some runs, compared with those of the baseline if it is another variant.
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

/// The differences of a measure to the baseline, for the seeds that both have.
fn differences(measure: Measure, runs: &[SeedReport], baseline: &[SeedReport]) -> Vec<f64> {
    let difference = |run: &SeedReport| {
        let other = baseline.iter().find(|other| other.seed == run.seed)?;
        Some(measure.of(run.report) - measure.of(other.report))
    };
    runs.iter().filter_map(difference).collect()
}
