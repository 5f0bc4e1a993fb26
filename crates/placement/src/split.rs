//! Sharing calls over the parts of a split, close to exact over any short run.
//!
//! Smooth weighted round robin: each draw raises every part by its weight and takes the highest,
//! which then gives back the sum. Nodes begin at different places, so that the fleet's sum is
//! close to exact as well. Load plays no part.

use bundle::Target;

/// The state of one route's split on one node.
#[derive(Clone, Debug)]
pub struct WeightedSplit {
    targets: Vec<Target>,
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// A split that begins at a place drawn by `random`.
    pub fn new(targets: &[Target], random: &mut fastrand::Rng) -> Self {
        let mut split =
            WeightedSplit { targets: targets.to_vec(), credits: vec![0; targets.len()] };
        for _ in 0..random.u64(0..=split.total().min(1_000)) {
            split.draw();
        }
        split
    }

    /// Whether it is the split of these targets.
    pub fn is_for(&self, targets: &[Target]) -> bool {
        self.targets == targets
    }

    fn total(&self) -> u64 {
        self.targets.iter().map(|target| u64::from(target.weight)).sum()
    }

    /// The service for the next call; `None` if there is no part with a weight.
    pub fn draw(&mut self) -> Option<&str> {
        let total = self.total() as i64;
        for (credit, target) in self.credits.iter_mut().zip(&self.targets) {
            *credit += i64::from(target.weight);
        }
        let parts = self.credits.iter().enumerate();
        let weighted = parts.filter(|(part, _)| self.targets[*part].weight > 0);
        let (part, _) = weighted.max_by_key(|(_, credit)| **credit)?;
        self.credits[part] -= total;
        Some(&self.targets[part].service)
    }
}
