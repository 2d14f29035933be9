//! Bounded table of stream records.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use juniper_types::{StreamKey, Timestamp};

use crate::origin::{StreamOrigin, StreamRecord};

/// Time for which a record is kept at least, unless the table is full; twice as long at most. A
/// caller resumes a stream before the deadline of its first request.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of records in a generation. Further records replace the oldest ones.
const MAX_RECORDS: usize = 1 << 17;

/// Effect of a record on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The stream had no record.
    Added,
    /// The same record was known.
    Known,
    /// Another origin is recorded for the stream; it counts as unknown from now on.
    Conflicting,
}

/// Known origin of a stream.
#[derive(Clone, Debug)]
enum Entry {
    Known(Arc<StreamOrigin>),
    /// Records of different origins were received.
    Conflicting,
}

/// Records of stream origins in two generations, the earlier of which is dropped as a whole: a
/// record takes no time stamp and no queue entry.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    current: HashMap<StreamKey, Entry>,
    former: HashMap<StreamKey, Entry>,
    /// Origins of the entries. There are few, and each is stored once.
    origins: BTreeSet<Arc<StreamOrigin>>,
    /// When the current generation began.
    began: Timestamp,
}

impl OriginTable {
    /// Records where a stream began.
    pub fn record(&mut self, record: &StreamRecord, now: Timestamp) -> RecordOutcome {
        self.expire(now);
        if self.current.len() >= MAX_RECORDS {
            self.begin_generation(now);
        }
        let StreamRecord { stream, origin } = record;
        let outcome = match self.entry(stream) {
            None => RecordOutcome::Added,
            Some(Entry::Known(known)) if **known == *origin => RecordOutcome::Known,
            Some(_) => RecordOutcome::Conflicting,
        };
        let entry = match outcome {
            RecordOutcome::Conflicting => Entry::Conflicting,
            RecordOutcome::Added | RecordOutcome::Known => Entry::Known(self.shared(origin)),
        };
        self.current.insert(*stream, entry);
        outcome
    }

    /// Origin of a stream; `None` if it isn't recorded, or if records disagree.
    pub fn find(&self, stream: &StreamKey) -> Option<&StreamOrigin> {
        match self.entry(stream)? {
            Entry::Known(origin) => Some(origin),
            Entry::Conflicting => None,
        }
    }

    /// All records without a conflict.
    pub fn records(&self) -> impl Iterator<Item = StreamRecord> + '_ {
        let former = self.former.iter().filter(|(stream, _)| !self.current.contains_key(stream));
        self.current.iter().chain(former).filter_map(|(stream, entry)| match entry {
            Entry::Known(origin) => {
                Some(StreamRecord { stream: *stream, origin: StreamOrigin::clone(origin) })
            }
            Entry::Conflicting => None,
        })
    }

    /// Number of streams with an entry in either generation.
    pub fn len(&self) -> usize {
        self.current.len() + self.former.len()
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops records that are older than the retention time.
    pub fn expire(&mut self, now: Timestamp) {
        let age = now.since(self.began);
        if age >= RETENTION {
            self.begin_generation(now);
        }
        if age >= RETENTION * 2 {
            self.begin_generation(now);
        }
    }

    /// Latest entry of a stream.
    fn entry(&self, stream: &StreamKey) -> Option<&Entry> {
        self.current.get(stream).or_else(|| self.former.get(stream))
    }

    fn begin_generation(&mut self, now: Timestamp) {
        self.former = std::mem::take(&mut self.current);
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
        self.began = now;
    }

    fn shared(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(known) = self.origins.get(origin) {
            return Arc::clone(known);
        }
        let origin = Arc::new(origin.clone());
        self.origins.insert(Arc::clone(&origin));
        origin
    }
}
