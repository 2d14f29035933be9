//! Faults of routers and servers.

use juniper_quarantine::{PartCrashes, Rebroadcast};

use crate::world::{Event, MILLI, World};

impl World {
    /// Brings about a random fault, and schedules the next.
    pub fn fault(&mut self) {
        let next = self.random.between(200, 1_500) * MILLI;
        self.queue.schedule_after(next, Event::Fault);
        if self.settings.faults {
            let router = self.random.between(0, self.routers.len() as u64 - 1) as usize;
            let time = self.random.between(300, 2_500) * MILLI;
            match self.random.between(0, 3) {
                0 => self.kill_router(router, time),
                1 => self.cut_router(router, time),
                2 => (0..self.routers.len()).for_each(|each| self.kill_router(each, time / 4)),
                _ => self.crash_some_servers(),
            }
        }
        if self.settings.server_faults {
            self.crash_some_servers();
        }
    }

    /// A router loses its state, and learns what is recorded when it is back.
    fn kill_router(&mut self, router: usize, time: u64) {
        let until = self.queue.now() + time;
        let killed = &mut self.routers[router];
        (killed.down_until, killed.last_fault) = (until, until);
        (killed.parts, killed.repeats) = (PartCrashes::default(), Rebroadcast::default());
        self.queue.schedule_after(time, Event::Recorded { router });
    }

    /// A router neither sends nor receives reports.
    fn cut_router(&mut self, router: usize, time: u64) {
        let until = self.queue.now() + time;
        let cut = &mut self.routers[router];
        (cut.cut_until, cut.last_fault) = (until, until);
        self.queue.schedule_after(time, Event::Recorded { router });
    }

    /// One server in six crashes, for a reason of its own.
    fn crash_some_servers(&mut self) {
        for server in 0..self.servers.len() {
            if self.random.chance(160) && self.is_server_up(server) {
                self.crash_server(server, None);
            }
        }
    }
}
