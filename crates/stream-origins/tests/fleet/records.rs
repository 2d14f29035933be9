//! Records of streams: what routers tell replicas, replicas tell each other, and lookups find.

use juniper_registry::SoftwareVersion;
use juniper_stream_origins::{StreamOrigin, StreamRecord};
use juniper_types::{StreamKey, Timestamp};

use crate::world::{Event, MILLI, Mend, VERSIONS, World};

/// Time for which a replica batches records for the others.
const BATCH_TIME: u64 = 15 * MILLI;

fn key(stream: usize) -> StreamKey {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&(stream as u64).to_be_bytes());
    StreamKey(key)
}

fn origin(version: u64) -> StreamOrigin {
    let software = SoftwareVersion::new(&format!("v{version}")).expect("a version");
    StreamOrigin { service: "llm".to_owned(), software }
}

impl World {
    pub fn record_origin(&mut self, stream: usize, router: usize, version: u64) {
        if self.routers[router].is_earlier {
            return;
        }
        let record = StreamRecord { stream: key(stream), origin: origin(version) };
        let now = Timestamp::from_micros(self.now());
        self.routers[router].own.record(&record, now);
        self.publish(router, record);
    }

    fn publish(&mut self, router: usize, record: StreamRecord) {
        let is_cut = self.routers[router].cut_until > self.now();
        if !is_cut && self.settings.missing != Some(Mend::Publication) {
            let replica = self.routers[router].relay;
            let delay = self.random.between(1, 3) * MILLI;
            self.queue
                .schedule_after(delay, Event::Record { replica, record, is_forwarded: false });
        }
    }

    pub fn record(&mut self, replica: usize, record: &StreamRecord, is_forwarded: bool) {
        let now = self.now();
        let receiver = &mut self.replicas[replica];
        if receiver.down_until > now || (is_forwarded && receiver.cut_until > now) {
            return;
        }
        receiver.records.record(record, Timestamp::from_micros(now));
        if is_forwarded || receiver.cut_until > now {
            return;
        }
        for other in (0..self.replicas.len()).filter(|other| *other != replica) {
            let delay = BATCH_TIME + self.random.between(1, 3) * MILLI;
            let event =
                Event::Record { replica: other, record: record.clone(), is_forwarded: true };
            self.queue.schedule_after(delay, event);
        }
    }

    /// A router has a relay again, and tells it of its own streams.
    pub fn republish(&mut self, router: usize) {
        let records: Vec<StreamRecord> = self.routers[router].own.records().collect();
        records.into_iter().for_each(|record| self.publish(router, record));
    }

    pub fn find_version(&self, stream: usize, router: usize) -> Option<u64> {
        let own = self.routers[router].own.find(&key(stream));
        let is_connected = self.routers[router].cut_until <= self.now();
        let up = self.replicas.iter().filter(|replica| replica.down_until <= self.now());
        let asked = up.filter(|_| is_connected);
        let found = own.or_else(|| asked.filter_map(|it| it.records.find(&key(stream))).next())?;
        (0..VERSIONS).find(|version| origin(*version) == *found)
    }
}
