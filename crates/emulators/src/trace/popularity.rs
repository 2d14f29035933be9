//! Nested prefixes of a tenant and their popularity.

use rand::{Rng, RngExt};

use super::profile::{Lengths, ProfileShape};
use super::record::Segment;

/// Zipf exponent of the popularity of inner prefixes by rank; about one in many
/// kinds of request streams.
const ZIPF_EXPONENT: f64 = 1.0;

/// Number of top ranks, one of which a newly popular prefix takes.
const TOP_RANKS: usize = 4;

/// Share of the popularity shifts that replace the inner prefix by a new one.
const NEW_SHARE: f64 = 0.5;

/// Allocator of segment ids that are unique within a trace.
#[derive(Clone, Debug, Default)]
pub struct SegmentIds {
    next: u64,
}

impl SegmentIds {
    /// Allocates a segment with a random length in `lengths`.
    pub fn allocate<R: Rng>(&mut self, lengths: Lengths, random: &mut R) -> Segment {
        self.next += 1;
        Segment { id: self.next, tokens: draw(lengths, random) }
    }
}

/// Draws a random length in `lengths`, both ends included.
pub fn draw<R: Rng>(lengths: Lengths, random: &mut R) -> u32 {
    random.random_range(lengths.min..=lengths.max)
}

#[derive(Clone, Copy, Debug)]
struct Leaf {
    group: usize,
    segment: Segment,
}

/// Nested prefixes of one tenant.
#[derive(Clone, Debug)]
pub struct Prefixes {
    root: Segment,
    groups: Vec<Segment>,
    leaves: Vec<Leaf>,
    /// Indexes of the leaves, the most popular first.
    ranking: Vec<usize>,
    /// Cumulative popularity weight of each rank.
    cumulative: Vec<f64>,
    leaf_tokens: Lengths,
}

impl Prefixes {
    /// Draws the prefixes of a tenant; `scale` is their number relative to the largest tenant's.
    pub fn new<R: Rng>(
        shape: &ProfileShape,
        scale: f64,
        segment_ids: &mut SegmentIds,
        random: &mut R,
    ) -> Self {
        let root = segment_ids.allocate(shape.root_tokens, random);
        let count = (f64::from(shape.groups) * scale).ceil().max(1.0) as usize;
        let groups: Vec<Segment> =
            (0..count).map(|_| segment_ids.allocate(shape.group_tokens, random)).collect();
        let leaves_per_group = shape.leaves_per_group as usize;
        let leaves: Vec<Leaf> = (0..count * leaves_per_group)
            .map(|index| Leaf {
                group: index / leaves_per_group,
                segment: segment_ids.allocate(shape.leaf_tokens, random),
            })
            .collect();
        let mut ranking: Vec<usize> = (0..leaves.len()).collect();
        for index in (1..ranking.len()).rev() {
            ranking.swap(index, random.random_range(0..=index));
        }
        let cumulative = cumulative_weights(leaves.len());
        Prefixes { root, groups, leaves, ranking, cumulative, leaf_tokens: shape.leaf_tokens }
    }

    /// Outer prefix.
    pub fn root(&self) -> Segment {
        self.root
    }

    /// Replaces the outer prefix.
    pub fn set_root(&mut self, root: Segment) {
        self.root = root;
    }

    /// Draws a leaf weighted by popularity.
    pub fn pick_by_popularity<R: Rng>(&self, random: &mut R) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(0.0);
        let point = random.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum <= point);
        self.ranking[rank.min(self.ranking.len() - 1)]
    }

    /// Draws a leaf with equal probabilities.
    pub fn pick_uniformly<R: Rng>(&self, random: &mut R) -> usize {
        random.random_range(0..self.leaves.len())
    }

    /// Returns the outer and middle prefix of `leaf`.
    pub fn outer_prefixes(&self, leaf: usize) -> Vec<Segment> {
        vec![self.root, self.groups[self.leaves[leaf].group]]
    }

    /// Returns the outer, middle and inner prefix of `leaf`.
    pub fn full_prefix(&self, leaf: usize) -> Vec<Segment> {
        let mut prefix = self.outer_prefixes(leaf);
        prefix.push(self.leaves[leaf].segment);
        prefix
    }

    /// Returns the id of the resource (such as a posting or brief) that `leaf` describes.
    pub fn resource_id(&self, leaf: usize) -> u64 {
        self.leaves[leaf].segment.id
    }

    /// Moves a random leaf to one of the top ranks, with a new text in a [`NEW_SHARE`] of the
    /// cases.
    pub fn shift_popularity<R: Rng>(&mut self, segment_ids: &mut SegmentIds, random: &mut R) {
        let top = random.random_range(0..TOP_RANKS.min(self.ranking.len()));
        let other = random.random_range(0..self.ranking.len());
        self.ranking.swap(top, other);
        if random.random::<f64>() < NEW_SHARE {
            let leaf = self.ranking[top];
            self.leaves[leaf].segment = segment_ids.allocate(self.leaf_tokens, random);
        }
    }
}

fn cumulative_weights(count: usize) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|rank| {
            sum += (rank as f64).powf(-ZIPF_EXPONENT);
            sum
        })
        .collect()
}
