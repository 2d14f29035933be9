//! One tenant's nested prefixes and how often each is asked for.

use rand::{Rng, RngExt};

use super::profile::{Lengths, ProfileShape};
use super::record::Segment;

/// Exponent of the popularity of inner prefixes by rank; about one, as measured
/// for many kinds of request streams.
const EXPONENT: f64 = 1.0;

/// Ranks among which a prefix that becomes popular arrives.
const TOP_RANKS: usize = 4;

/// Share of the shifts that bring a new inner prefix rather than an old one.
const NEW_SHARE: f64 = 0.5;

/// Numbers given to segments, unique within a trace.
#[derive(Clone, Debug, Default)]
pub struct SegmentNumbers {
    next: u64,
}

impl SegmentNumbers {
    /// A new segment with a length from `lengths`.
    pub fn allocate<R: Rng>(&mut self, lengths: Lengths, random: &mut R) -> Segment {
        self.next += 1;
        Segment { id: self.next, tokens: draw(lengths, random) }
    }
}

/// A length from `lengths`, both ends included.
pub fn draw<R: Rng>(lengths: Lengths, random: &mut R) -> u32 {
    random.random_range(lengths.min..=lengths.max)
}

#[derive(Clone, Copy, Debug)]
struct Leaf {
    group: usize,
    segment: Segment,
}

/// The prefixes of one tenant.
#[derive(Clone, Debug)]
pub struct Prefixes {
    root: Segment,
    groups: Vec<Segment>,
    leaves: Vec<Leaf>,
    /// Leaves by popularity, the most popular first.
    ranking: Vec<usize>,
    /// Sum of the weights up to each rank.
    cumulative: Vec<f64>,
    leaf_tokens: Lengths,
}

impl Prefixes {
    /// Draws the prefixes of a tenant that has `scale` of the largest one's.
    pub fn new<R: Rng>(
        shape: &ProfileShape,
        scale: f64,
        numbers: &mut SegmentNumbers,
        random: &mut R,
    ) -> Self {
        let root = numbers.allocate(shape.root_tokens, random);
        let count = (f64::from(shape.groups) * scale).ceil().max(1.0) as usize;
        let groups: Vec<Segment> =
            (0..count).map(|_| numbers.allocate(shape.group_tokens, random)).collect();
        let leaves_per_group = shape.leaves_per_group as usize;
        let leaves: Vec<Leaf> = (0..count * leaves_per_group)
            .map(|index| Leaf {
                group: index / leaves_per_group,
                segment: numbers.allocate(shape.leaf_tokens, random),
            })
            .collect();
        let mut ranking: Vec<usize> = (0..leaves.len()).collect();
        for index in (1..ranking.len()).rev() {
            ranking.swap(index, random.random_range(0..=index));
        }
        let cumulative = cumulative_weights(leaves.len());
        Prefixes { root, groups, leaves, ranking, cumulative, leaf_tokens: shape.leaf_tokens }
    }

    /// The outer prefix.
    pub fn root(&self) -> Segment {
        self.root
    }

    /// Uses another outer prefix.
    pub fn set_root(&mut self, root: Segment) {
        self.root = root;
    }

    /// A leaf by popularity.
    pub fn pick<R: Rng>(&self, random: &mut R) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(0.0);
        let point = random.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum <= point);
        self.ranking[rank.min(self.ranking.len() - 1)]
    }

    /// Any leaf, popular or not.
    pub fn pick_any<R: Rng>(&self, random: &mut R) -> usize {
        random.random_range(0..self.leaves.len())
    }

    /// Outer and middle prefix of `leaf`.
    pub fn outer(&self, leaf: usize) -> Vec<Segment> {
        vec![self.root, self.groups[self.leaves[leaf].group]]
    }

    /// The whole nested prefix of `leaf`.
    pub fn whole(&self, leaf: usize) -> Vec<Segment> {
        let mut prefix = self.outer(leaf);
        prefix.push(self.leaves[leaf].segment);
        prefix
    }

    /// Number that identifies what `leaf` stands for.
    pub fn resource(&self, leaf: usize) -> u64 {
        self.leaves[leaf].segment.id
    }

    /// Another leaf becomes popular; half of the time it has a new text.
    pub fn shift<R: Rng>(&mut self, numbers: &mut SegmentNumbers, random: &mut R) {
        let top = random.random_range(0..TOP_RANKS.min(self.ranking.len()));
        let other = random.random_range(0..self.ranking.len());
        self.ranking.swap(top, other);
        if random.random::<f64>() < NEW_SHARE {
            let leaf = self.ranking[top];
            self.leaves[leaf].segment = numbers.allocate(self.leaf_tokens, random);
        }
    }
}

fn cumulative_weights(count: usize) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|rank| {
            sum += (rank as f64).powf(-EXPONENT);
            sum
        })
        .collect()
}
