//! Faults of routers, replicas and servers.

use juniper_stream_origins::OriginTable;

use crate::world::{Event, MILLI, Server, VERSIONS, World};

impl World {
    /// Brings about a random fault, and schedules the next.
    pub fn fault(&mut self) {
        let next = self.random.between(50, 900) * MILLI;
        self.queue.schedule_after(next, Event::Fault);
        let time = self.random.between(100, 2_000) * MILLI;
        let count = self.routers.len();
        let one = self.random.between(0, count as u64 - 1) as usize;
        match self.random.between(0, 11) {
            0..=2 => self.kill_router(one, time),
            3 => (0..count).filter(|router| router % 2 == one % 2).for_each(|router| {
                self.kill_router(router, time);
            }),
            4 => {
                let until = self.now() + time;
                let frozen = &mut self.routers[one];
                (frozen.frozen_until, frozen.last_fault) = (until, until);
            }
            5 => {
                self.routers[one].cut_until = self.now() + time;
                self.queue.schedule_after(time, Event::Return { router: one });
            }
            6 => self.fault_replicas(one, time),
            _ => self.replace_servers(),
        }
    }

    fn kill_router(&mut self, router: usize, time: u64) {
        let until = self.now() + time;
        let killed = &mut self.routers[router];
        (killed.down_until, killed.last_fault) = (until, until);
        killed.own = OriginTable::default();
        let lost = (0..self.streams.len()).filter(|stream| {
            let stream = &self.streams[*stream];
            stream.router == router && stream.run > 0 && stream.events < stream.total
        });
        let lost: Vec<usize> = lost.collect();
        lost.into_iter().for_each(|stream| self.lose(stream));
    }

    /// Kills one replica or all of them, or cuts one off from the others.
    fn fault_replicas(&mut self, number: usize, time: u64) {
        let (now, count) = (self.now(), self.replicas.len());
        let kind = self.random.between(0, 2);
        for (replica, faulty) in self.replicas.iter_mut().enumerate() {
            match kind {
                0 if replica == number % count => faulty.cut_until = now + time,
                1 if replica != number % count => {}
                1 | 2 => {
                    faulty.down_until = now + time;
                    faulty.records = OriginTable::default();
                }
                _ => {}
            }
        }
        self.last_core_fault = now + time;
        for router in 0..self.routers.len() {
            self.queue.schedule_after(time + 100 * MILLI, Event::Return { router });
        }
    }

    /// Servers crash, and others of any version take their place.
    fn replace_servers(&mut self) {
        let now = self.now();
        for _ in 0..self.random.between(1, 3) {
            let alive: Vec<usize> = (0..self.servers.len())
                .filter(|index| self.servers[*index].died_at > now)
                .collect();
            let died = self.random.pick(&alive);
            if let Some(index) = died {
                self.servers[index].died_at = now;
            }
            let version = self.random.between(0, VERSIONS - 1);
            let mut known_at = now + self.random.between(20, 400) * MILLI;
            let mut former = None;
            if self.settings.restarts && self.random.between(0, 1) == 0 {
                former = died;
                // One in four can't reach the replicas for a while.
                if self.random.between(0, 3) == 0 {
                    known_at += self.random.between(1_000, 4_000) * MILLI;
                }
            }
            self.servers.push(Server { version, known_at, died_at: u64::MAX, former });
        }
    }
}
