//! Confidence intervals and verdicts.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::bootstrap::confidence_interval;
use crate::measure::Measure;
use crate::summary::Verdict;

#[test]
fn interval_covers_the_mean_at_about_its_nominal_rate() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let covers = (0..400)
        .filter(|number| {
            let values: Vec<f64> = (0..20).map(|_| random.random::<f64>()).collect();
            let interval = confidence_interval(&values, &format!("{number}"))
                .expect("20 values are enough for an interval");
            (interval.low..=interval.high).contains(&0.5)
        })
        .count();
    // The percentile bootstrap of a sample of 20 is slightly too narrow: the literature reports a coverage of 92 to 95 %.
    assert!((360..=390).contains(&covers), "{covers} of 400 intervals contain the mean, expected 360 to 390");
}

#[test]
fn verdict_names_a_difference_only_where_the_interval_excludes_zero() {
    let values = |shift: f64| (0..10).map(|n| f64::from(n % 5) - 2.0 + shift).collect::<Vec<_>>();
    let of = |shift, measure| {
        Verdict::of(
            measure,
            confidence_interval(&values(shift), "x").expect("10 values are enough for an interval"),
        )
        .as_str()
    };
    assert_eq!(of(0.0, Measure::Served), "no difference seen");
    assert_eq!((of(3.0, Measure::Served), of(3.0, Measure::P99Ms)), ("better", "worse"));
    assert_eq!((of(-3.0, Measure::Served), of(3.0, Measure::Crossed)), ("worse", "more"));
    assert_eq!(confidence_interval(&[1.0; 4], "x"), None, "4 values are too few for an interval");
    assert_eq!(
        confidence_interval(&values(1.0), "x"),
        confidence_interval(&values(1.0), "x"),
        "equal samples have equal intervals"
    );
}
