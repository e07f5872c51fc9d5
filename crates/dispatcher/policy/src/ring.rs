/// The last `N` samples of something measured, oldest overwritten first.
#[derive(Clone)]
pub(crate) struct Ring<T, const N: usize> {
    kept: [T; N],
    len: usize,
    at: usize,
}

impl<T: Copy + Default, const N: usize> Default for Ring<T, N> {
    fn default() -> Self {
        Ring {
            kept: [T::default(); N],
            len: 0,
            at: 0,
        }
    }
}

impl<T: Copy + Default, const N: usize> Ring<T, N> {
    pub(crate) fn push(&mut self, sample: T) {
        self.kept[self.at] = sample;
        self.at = (self.at + 1) % N;
        self.len = N.min(self.len + 1);
    }

    /// Puts a sample in the place of the first in the given order, once all places are taken.
    pub(crate) fn replace(&mut self, sample: T, before: impl Fn(&T, &T) -> bool) {
        if self.len < N {
            return self.push(sample);
        }
        let first = (1..N).fold(0, |a, b| {
            if before(&self.kept[b], &self.kept[a]) {
                b
            } else {
                a
            }
        });
        self.kept[first] = sample;
    }

    pub(crate) fn samples(&self) -> &[T] {
        &self.kept[..self.len]
    }

    pub(crate) fn samples_mut(&mut self) -> &mut [T] {
        &mut self.kept[..self.len]
    }
}

impl<const N: usize> Ring<f64, N> {
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.len > 0).then(|| self.samples().iter().sum::<f64>() / self.len as f64)
    }

    pub(crate) fn quantile(&self, part: f64) -> Option<f64> {
        let mut sorted = self.kept;
        let sorted = &mut sorted[..self.len];
        sorted.sort_unstable_by(f64::total_cmp);
        sorted.get((self.len as f64 * part) as usize).copied()
    }
}

pub(crate) fn median(figures: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = figures.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
