//! Persistent map of servers by name, of which copies share unchanged parts.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::sync::Arc;

use crate::directory::Instance;
use crate::incarnation::InstanceName;

/// Number of buckets. A change copies the list of buckets and one bucket; a comparison of two maps
/// visits the list and the changed buckets. With thousands of servers both are far fewer entries
/// than the whole map has.
const BUCKETS: usize = 256;

type Bucket = Vec<Arc<Instance>>;

/// Map of servers by name. A clone costs one reference; clones share all servers and buckets that
/// are unchanged between them.
#[derive(Clone, Debug)]
pub struct InstanceMap {
    buckets: Arc<Vec<Arc<Bucket>>>,
    len: usize,
}

impl Default for InstanceMap {
    fn default() -> Self {
        InstanceMap { buckets: Arc::new(vec![Arc::default(); BUCKETS]), len: 0 }
    }
}

/// Differences between two maps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceChanges {
    /// Servers that were added or changed.
    pub changed: Vec<Arc<Instance>>,
    /// Servers that were removed.
    pub removed: Vec<InstanceName>,
}

fn bucket_of(name: &InstanceName) -> usize {
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(name);
    usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
}

fn position_in(bucket: &Bucket, name: &InstanceName) -> Result<usize, usize> {
    bucket.binary_search_by(|known| known.id.name().cmp(name))
}

impl InstanceMap {
    /// Number of servers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Server with the given name.
    pub fn get(&self, name: &InstanceName) -> Option<&Arc<Instance>> {
        let bucket = &self.buckets[bucket_of(name)];
        position_in(bucket, name).ok().map(|index| &bucket[index])
    }

    /// All servers, in an unspecified order that is the same in every process.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Instance>> {
        self.buckets.iter().flat_map(|bucket| bucket.iter())
    }

    /// Inserts a server, replacing the one with its name.
    pub fn insert(&mut self, instance: Arc<Instance>) {
        let name = instance.id.name();
        let buckets = Arc::make_mut(&mut self.buckets);
        let bucket = Arc::make_mut(&mut buckets[bucket_of(name)]);
        match position_in(bucket, name) {
            Ok(index) => bucket[index] = instance,
            Err(index) => {
                bucket.insert(index, instance);
                self.len += 1;
            }
        }
    }

    /// Removes a server.
    pub fn remove(&mut self, name: &InstanceName) {
        let bucket_number = bucket_of(name);
        let Ok(index) = position_in(&self.buckets[bucket_number], name) else { return };
        let buckets = Arc::make_mut(&mut self.buckets);
        Arc::make_mut(&mut buckets[bucket_number]).remove(index);
        self.len -= 1;
    }

    /// Whether both maps are known to be equal without comparing servers: one is an unchanged copy
    /// of the other, or both are empty.
    pub fn is_copy_of(&self, other: &InstanceMap) -> bool {
        Arc::ptr_eq(&self.buckets, &other.buckets) || self.len + other.len == 0
    }

    /// Changes from `earlier` to this map.
    pub fn changes_from(&self, earlier: &InstanceMap) -> InstanceChanges {
        let mut changes = InstanceChanges::default();
        if self.is_copy_of(earlier) {
            return changes;
        }
        let pairs = self.buckets.iter().zip(earlier.buckets.iter());
        for (bucket, earlier_bucket) in
            pairs.filter(|(bucket, earlier_bucket)| !Arc::ptr_eq(bucket, earlier_bucket))
        {
            for known in earlier_bucket.iter() {
                if position_in(bucket, known.id.name()).is_err() {
                    changes.removed.push(known.id.name().clone());
                }
            }
            for instance in bucket.iter() {
                let before = position_in(earlier_bucket, instance.id.name()).ok();
                let is_same =
                    before.is_some_and(|index| Arc::ptr_eq(&earlier_bucket[index], instance));
                if !is_same {
                    changes.changed.push(Arc::clone(instance));
                }
            }
        }
        changes
    }
}

impl FromIterator<Arc<Instance>> for InstanceMap {
    fn from_iter<I: IntoIterator<Item = Arc<Instance>>>(instances: I) -> Self {
        let mut map = InstanceMap::default();
        instances.into_iter().for_each(|instance| map.insert(instance));
        map
    }
}
