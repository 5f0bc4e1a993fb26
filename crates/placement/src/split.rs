//! Weighted traffic splits that stay close to exact over any short run of calls.
//!
//! Uses smooth weighted round robin: each draw raises the credit of every target by its weight and
//! takes the target with the highest credit, which is then lowered by the sum of the weights. Each
//! node starts at a random position so that the fleet-wide distribution is close to exact as well.
//! Load is not considered.

use bundle::Target;

/// State of one route's traffic split on one node.
#[derive(Clone, Debug)]
pub struct WeightedSplit {
    targets: Vec<Target>,
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Creates a split that starts at a random position.
    pub fn new(targets: &[Target], random: &mut fastrand::Rng) -> Self {
        let mut split =
            WeightedSplit { targets: targets.to_vec(), credits: vec![0; targets.len()] };
        for _ in 0..random.u64(0..=split.total().min(1_000)) {
            split.draw();
        }
        split
    }

    /// Whether this split was made for these targets.
    pub fn is_for(&self, targets: &[Target]) -> bool {
        self.targets == targets
    }

    fn total(&self) -> u64 {
        self.targets.iter().map(|target| u64::from(target.weight)).sum()
    }

    /// Picks the service for the next call; `None` if all weights are zero.
    pub fn draw(&mut self) -> Option<&str> {
        let total = self.total() as i64;
        for (credit, target) in self.credits.iter_mut().zip(&self.targets) {
            *credit += i64::from(target.weight);
        }
        let credits_by_index = self.credits.iter().enumerate();
        let weighted = credits_by_index.filter(|(index, _)| self.targets[*index].weight > 0);
        let (index, _) = weighted.max_by_key(|(_, credit)| **credit)?;
        self.credits[index] -= total;
        Some(&self.targets[index].service)
    }
}
