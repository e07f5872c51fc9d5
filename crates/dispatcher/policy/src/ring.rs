/// A ring buffer of the last `N` samples; a new sample overwrites the oldest one.
#[derive(Clone)]
pub(crate) struct Ring<T, const N: usize> {
    buffer: [T; N],
    len: usize,
    /// The index that the next sample is written to.
    next: usize,
}

impl<T: Copy + Default, const N: usize> Default for Ring<T, N> {
    fn default() -> Self {
        Ring {
            buffer: [T::default(); N],
            len: 0,
            next: 0,
        }
    }
}

impl<T: Copy + Default, const N: usize> Ring<T, N> {
    pub(crate) fn push(&mut self, sample: T) {
        self.buffer[self.next] = sample;
        self.next = (self.next + 1) % N;
        self.len = N.min(self.len + 1);
    }

    /// Adds a sample. A full buffer loses the sample that comes first in the order `is_before`, whatever its age.
    pub(crate) fn push_replacing_first(&mut self, sample: T, is_before: impl Fn(&T, &T) -> bool) {
        if self.len < N {
            return self.push(sample);
        }
        let first = (1..N).fold(0, |a, b| {
            if is_before(&self.buffer[b], &self.buffer[a]) {
                b
            } else {
                a
            }
        });
        self.buffer[first] = sample;
    }

    /// The samples in buffer order, which is the order of arrival until the buffer is full.
    pub(crate) fn samples(&self) -> &[T] {
        &self.buffer[..self.len]
    }

    pub(crate) fn samples_mut(&mut self) -> &mut [T] {
        &mut self.buffer[..self.len]
    }
}

impl<const N: usize> Ring<f64, N> {
    /// The arithmetic mean; `None` without samples.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.len > 0).then(|| self.samples().iter().sum::<f64>() / self.len as f64)
    }

    /// The sample that stands at the given fraction of the sorted samples; `None` without samples.
    pub(crate) fn quantile(&self, fraction: f64) -> Option<f64> {
        let mut sorted = self.buffer;
        let sorted = &mut sorted[..self.len];
        sorted.sort_unstable_by(f64::total_cmp);
        sorted.get((self.len as f64 * fraction) as usize).copied()
    }
}

/// The median, or the upper one of the two middle values; `None` without values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
