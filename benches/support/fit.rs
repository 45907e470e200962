//! Linear fits of measurements.

/// A line fitted to three or more measurements by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// The value at size 0.
    pub intercept: f64,
    /// The increase in the value per unit of size.
    pub slope: f64,
    /// The largest measured size.
    pub max_size: f64,
}

impl Fit {
    /// Takes a sample at each of `sizes` and fits a line to them. Prints both, with the values
    /// in `unit`.
    pub fn measure(
        label: &str,
        unit: &str,
        sizes: &[u32],
        mut sample: impl FnMut(u32) -> f64,
    ) -> Self {
        assert!(
            sizes.len() >= 3,
            "{label}: a fit needs at least three sizes"
        );
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .map(|&size| (f64::from(size), sample(size)))
            .collect();
        let fit = Self::least_squares(&points);
        let samples: Vec<String> = points
            .iter()
            .map(|(size, value)| format!("{size:.0}: {value:.1}"))
            .collect();
        println!(
            "{label} = {:.2} + {:.3} x size {unit} (at {})",
            fit.intercept,
            fit.slope,
            samples.join(", ")
        );
        fit
    }

    fn least_squares(points: &[(f64, f64)]) -> Self {
        let count: f64 = points.iter().map(|_| 1.0).sum();
        let mean =
            |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let sum_of_squares: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size).powi(2))
            .sum();
        let sum_of_products: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size) * (point.1 - mean_value))
            .sum();
        let slope = sum_of_products / sum_of_squares;
        Self {
            intercept: mean_value - slope * mean_size,
            slope,
            max_size: points.iter().map(|point| point.0).fold(0.0, f64::max),
        }
    }

    /// The value of the line at `size`.
    pub fn at(self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
