//! Compares two variants in pairs of runs with the same seed, with confidence intervals.

use crate::checker::{cold_use, failed_hand_offs, goodput};
use crate::play::{play, Options};
use crate::scenario::{Bad, Scenario};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::path::PathBuf;

/// The values of a figure for both variants, one for each seed.
#[derive(Clone, Debug)]
pub struct Compared {
    pub figure: &'static str,
    pub with: Vec<f64>,
    pub against: Vec<f64>,
}

impl Compared {
    pub fn mean(figures: &[f64]) -> f64 {
        figures.iter().sum::<f64>() / figures.len().max(1) as f64
    }

    /// The mean difference and its 95 % confidence interval (percentile bootstrap over the pairs, Efron and
    /// Tibshirani 1993).
    pub fn difference(&self) -> (f64, f64, f64) {
        let pairs: Vec<f64> = self
            .with
            .iter()
            .zip(&self.against)
            .map(|(a, b)| a - b)
            .collect();
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut means: Vec<f64> = (0..4000)
            .map(|_| {
                let drawn = (0..pairs.len()).map(|_| pairs[rng.random_range(0..pairs.len())]);
                drawn.sum::<f64>() / pairs.len() as f64
            })
            .collect();
        means.sort_by(f64::total_cmp);
        (Compared::mean(&pairs), means[100], means[3899])
    }
}

/// Parses a variant: `key=value`, `break:NAME`, or the path of a program.
fn variant(text: &str, base: &Options) -> Options {
    let mut options = base.clone();
    match text.strip_prefix("break:") {
        Some(name) => options.broken = Some(name.to_string()),
        None if text.contains('=') => options.set.extend(text.split(',').map(str::to_string)),
        None => options.program = Some(PathBuf::from(text)),
    }
    options
}

/// Runs both variants with each seed, one after the other. Which of them runs first alternates between seeds.
pub fn compare(
    scenario: &Scenario,
    base: &Options,
    with: &str,
    against: &str,
    pairs: usize,
    mut told: impl FnMut(&str),
) -> Result<Vec<Compared>, Bad> {
    let figures = [
        "goodput",
        "failed hand-offs",
        "use of cold runners",
        "broken",
    ];
    let mut compared: Vec<Compared> = figures
        .iter()
        .map(|figure| Compared {
            figure,
            with: Vec::new(),
            against: Vec::new(),
        })
        .collect();
    let first = base.seed.unwrap_or(scenario.seed);
    for pair in 0..pairs {
        let order = [(with, true), (against, false)];
        for (text, is_with) in if pair % 2 == 0 {
            order
        } else {
            [order[1], order[0]]
        } {
            let options = Options {
                seed: Some(first + pair as u64),
                ..variant(text, base)
            };
            let outcome = play(scenario, &options)?;
            let (good, cold) = outcome.with_inputs(|inputs| {
                let cold = cold_use(inputs, &outcome.records);
                let length = outcome.scenario.length.0;
                (
                    goodput(inputs, &outcome.records, 0.0, length),
                    cold.iter().map(|(_, _, most, _)| *most).fold(0.0, f64::max),
                )
            });
            let failed = failed_hand_offs(&outcome.records) as f64;
            told(&format!(
                "seed {} {text}: goodput {good:.3}, {failed} hand-offs failed, cold {cold:.2}, {} broken",
                first + pair as u64,
                outcome.breaks.len()
            ));
            for (figure, value) in
                compared
                    .iter_mut()
                    .zip([good, failed, cold, outcome.breaks.len() as f64])
            {
                if is_with {
                    &mut figure.with
                } else {
                    &mut figure.against
                }
                .push(value);
            }
        }
    }
    Ok(compared)
}
