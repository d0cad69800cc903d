//! Means, and differences with their confidence intervals.

use hdrhistogram::Histogram;
use ivyhatch_lab::{ClassReport, Report};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Serialize;

use crate::results::Results;
use crate::spec::{Measure, Plan, Run};

/// Resamples of a bootstrap.
const RESAMPLES: usize = 2000;
/// Fewer seeds than this have no interval worth the name.
const LEAST_SEEDS: usize = 5;

/// Where a mean lies, with 95 in 100 confidence.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    /// Lower end.
    pub low: f64,
    /// Upper end.
    pub high: f64,
}

impl Interval {
    /// Whether all of it lies to one side of 0.
    pub fn excludes_zero(self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// One measure of one variant on one world.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// The world's name.
    pub world: String,
    /// The variant's name.
    pub variant: String,
    /// The measure's name.
    pub measure: &'static str,
    /// Plays that it is made of.
    pub seeds: usize,
    /// Their mean.
    pub mean: f64,
    /// Where the mean of all seeds would lie; none with fewer than 5.
    pub interval: Option<Interval>,
    /// By how much more than under the baseline, seed by seed; none for the baseline itself.
    pub difference: Option<f64>,
    /// Where that lies; none with fewer than 5 seeds in common.
    pub difference_interval: Option<Interval>,
    /// What that means: `better`, `worse`, `more`, `less`, or `no difference seen`; none without an interval.
    pub verdict: Option<&'static str>,
}

/// All that an experiment found.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Its name.
    pub name: String,
    /// The baseline's name.
    pub baseline: String,
    /// Runs that are planned, and that have a result.
    pub planned: usize,
    /// See [`Summary::planned`].
    pub played: usize,
    /// Broken rules over all plays of the module and other builds; references break them as they please.
    pub module_rules_broken: usize,
    /// World by world, variant by variant, measure by measure.
    pub cells: Vec<Cell>,
}

/// The times of several plays together, in microseconds; none where nothing was served.
pub(crate) fn times<'a>(reports: impl Iterator<Item = &'a Report>) -> Option<Histogram<u64>> {
    together(reports.flat_map(|report| &report.classes))
}

/// The times of several parts together; see [`times`].
pub(crate) fn together<'a>(parts: impl Iterator<Item = &'a ClassReport>) -> Option<Histogram<u64>> {
    parts.filter_map(ClassReport::histogram).reduce(|mut sum, other| {
        sum.add(&other).expect("the same bounds");
        sum
    })
}

/// The plays of one variant on one world that have a result, in the order of their seeds.
pub(crate) fn reports<'a>(
    plan: &Plan,
    results: &'a Results,
    world: usize,
    variant: usize,
) -> Vec<(u64, &'a Report)> {
    let first = plan.experiment.first_seed;
    let runs = (first..first + u64::from(plan.experiment.seeds)).map(|seed| Run { world, variant, seed });
    runs.filter_map(|run| Some((run.seed, &results.get(&plan.key(run))?.report))).collect()
}

fn mean(figures: &[f64]) -> f64 {
    figures.iter().sum::<f64>() / figures.len().max(1) as f64
}

/// The percentile bootstrap: means of resamples, of which the middle 95 in 100 are kept. Seeded by what it is for, so
/// that the same results give the same interval.
fn interval(figures: &[f64], purpose: &str) -> Option<Interval> {
    if figures.len() < LEAST_SEEDS {
        return None;
    }
    let mut random = ChaCha8Rng::from_seed(*blake3::hash(purpose.as_bytes()).as_bytes());
    let mut draw = || figures[random.random_range(0..figures.len())];
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| (0..figures.len()).map(|_| draw()).sum::<f64>() / figures.len() as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |part: f64| means[((RESAMPLES - 1) as f64 * part).round() as usize];
    Some(Interval { low: at(0.025), high: at(0.975) })
}

fn verdict(measure: Measure, interval: Interval) -> &'static str {
    let more = interval.low > 0.0;
    match measure.more_is_better() {
        _ if !interval.excludes_zero() => "no difference seen",
        Some(better) if better == more => "better",
        Some(_) => "worse",
        None if more => "more",
        None => "less",
    }
}

/// Sums an experiment up, over those of its runs that have a result.
pub fn summarise(plan: &Plan, results: &Results) -> Summary {
    let experiment = &plan.experiment;
    let mut cells = Vec::new();
    let (mut played, mut module_rules_broken) = (0, 0);
    for world in 0..plan.worlds.len() {
        let base = reports(plan, results, world, plan.baseline);
        for (number, variant) in experiment.variants.iter().enumerate() {
            let plays = reports(plan, results, world, number);
            played += plays.len();
            if variant.policy == ivyhatch_lab::Policy::Balancer {
                module_rules_broken += plays.iter().map(|(_, report)| report.rules_broken).sum::<usize>();
            }
            for &measure in &experiment.measures {
                let figures: Vec<f64> = plays.iter().map(|(_, report)| measure.of(report)).collect();
                let purpose = format!("{} {} {}", plan.worlds[world].name, variant.name, measure.name());
                let pair = |(seed, report): &(u64, &Report)| {
                    let (_, other) = base.iter().find(|(of, _)| of == seed)?;
                    Some(measure.of(report) - measure.of(other))
                };
                let differences: Vec<f64> = plays.iter().filter_map(pair).collect();
                let compares = number != plan.baseline && !differences.is_empty();
                let difference_interval =
                    interval(&differences, &format!("{purpose}, difference")).filter(|_| compares);
                cells.push(Cell {
                    world: plan.worlds[world].name.clone(),
                    variant: variant.name.clone(),
                    measure: measure.name(),
                    seeds: figures.len(),
                    mean: mean(&figures),
                    interval: interval(&figures, &purpose),
                    difference: compares.then(|| mean(&differences)),
                    difference_interval,
                    verdict: difference_interval.map(|interval| verdict(measure, interval)),
                });
            }
        }
    }
    let baseline = experiment.variants[plan.baseline].name.clone();
    let planned = plan.runs().len();
    Summary { name: experiment.name.clone(), baseline, planned, played, module_rules_broken, cells }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interval_covers_the_mean_about_as_often_as_it_says() {
        let mut random = ChaCha8Rng::seed_from_u64(3);
        let covers = (0..400)
            .filter(|number| {
                let figures: Vec<f64> = (0..20).map(|_| random.random::<f64>()).collect();
                let interval = interval(&figures, &format!("{number}")).expect("enough seeds");
                (interval.low..=interval.high).contains(&0.5)
            })
            .count();
        // A percentile bootstrap of twenty is a little narrow: 92 to 95 in 100 in the literature.
        assert!((360..=390).contains(&covers), "{covers} of 400");
    }

    #[test]
    fn a_difference_is_seen_only_where_there_is_one() {
        let figures = |shift: f64| (0..10).map(|n| f64::from(n % 5) - 2.0 + shift).collect::<Vec<_>>();
        let of = |shift, measure| verdict(measure, interval(&figures(shift), "x").expect("enough"));
        assert_eq!(of(0.0, Measure::Served), "no difference seen");
        assert_eq!((of(3.0, Measure::Served), of(3.0, Measure::P99Ms)), ("better", "worse"));
        assert_eq!((of(-3.0, Measure::Served), of(3.0, Measure::Crossed)), ("worse", "more"));
        assert_eq!(interval(&[1.0; 4], "x"), None, "too few");
        assert_eq!(interval(&figures(1.0), "x"), interval(&figures(1.0), "x"), "the same again");
    }
}
