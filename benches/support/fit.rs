//! Straight lines through measured points.

/// A line through three or more points by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// The value at size 0.
    pub base: f64,
    /// The value that each item adds.
    pub slope: f64,
    /// The largest size measured.
    pub largest: f64,
}

impl Fit {
    /// Measures at each of `sizes` and fits; prints the points and the line.
    pub fn measure(
        label: &str,
        unit: &str,
        sizes: &[u32],
        mut point: impl FnMut(u32) -> f64,
    ) -> Self {
        assert!(sizes.len() >= 3, "a fit needs three sizes");
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .map(|&size| (f64::from(size), point(size)))
            .collect();
        let fit = Self::through(&points);
        let shown: Vec<String> = points
            .iter()
            .map(|(size, value)| format!("{size:.0}: {value:.1}"))
            .collect();
        println!(
            "{label} = {:.2} + {:.3} x size {unit} (at {})",
            fit.base,
            fit.slope,
            shown.join(", ")
        );
        fit
    }

    fn through(points: &[(f64, f64)]) -> Self {
        let count: f64 = points.iter().map(|_| 1.0).sum();
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (middle, level) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - middle).powi(2)).sum();
        let together: f64 = points
            .iter()
            .map(|point| (point.0 - middle) * (point.1 - level))
            .sum();
        let slope = together / spread;
        Self {
            base: level - slope * middle,
            slope,
            largest: points.iter().map(|point| point.0).fold(0.0, f64::max),
        }
    }

    /// The value at `size`.
    pub fn at(self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
