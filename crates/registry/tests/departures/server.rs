//! The server: its starts, heartbeats and deregistrations.

use std::net::{Ipv4Addr, SocketAddrV4};

use juniper_registry::{InstanceReport, InstanceState, StartTime};
use juniper_simulation::{MILLI, SECOND};

use crate::world::{Event, HEARTBEAT_INTERVAL, Incarnation, REPLICAS, World, name};

impl World {
    pub(crate) fn start(&mut self) {
        let started = StartTime::from_unix_ms(self.unix_ms(self.clock_error_ms));
        let replica = self.random.between(0, REPLICAS as u64) as usize % REPLICAS;
        let incarnation = self.incarnations.len();
        let new = Incarnation { started, sequence: 0, replica, has_left: false, is_running: true };
        self.incarnations.push(new);
        self.queue.schedule_after(0, Event::Heartbeat { incarnation });
        let lifetime = self.random.between(300 * MILLI, 12 * SECOND);
        let end = match self.random.chance(300) {
            true => Event::End { incarnation },
            false => Event::Leave { incarnation },
        };
        self.queue.schedule_after(lifetime, end);
    }

    pub(crate) fn send_heartbeat(&mut self, incarnation: usize) {
        let moves = self.random.chance(100);
        let other = self.random.between(0, REPLICAS as u64) as usize % REPLICAS;
        let is_late = self.random.chance(100);
        let late = self.random.between(SECOND, 4 * SECOND);
        let delay = self.delay() + if is_late { late } else { 0 };
        let sender = &mut self.incarnations[incarnation];
        if !sender.is_running || sender.has_left {
            return;
        }
        if moves || !self.replicas[sender.replica].is_up {
            sender.replica = other;
        }
        sender.sequence += 1;
        let report = InstanceReport {
            name: name(),
            service: "app".to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
            zone: "north".to_owned(),
            slots: 6,
            state: InstanceState::Ready,
            cold_remaining_ms: 0,
            models: Vec::new(),
            sequence: sender.sequence,
            started: sender.started,
            software: None,
        };
        let replica = sender.replica;
        self.queue.schedule_after(delay, Event::Observe { replica, report });
        self.queue.schedule_after(HEARTBEAT_INTERVAL, Event::Heartbeat { incarnation });
    }

    /// Calls a replica; the caller hangs up if it doesn't answer, and calls the next one.
    pub(crate) fn leave(&mut self, incarnation: usize) {
        let Incarnation { replica, is_running, .. } = self.incarnations[incarnation];
        if !is_running {
            return;
        }
        let delay = self.delay();
        if self.random.chance(150) {
            // A partition holds the call back until its caller has hung up or crashed.
            let held = self.random.between(2 * SECOND, 8 * SECOND);
            let call = Event::Call { incarnation, replica, is_connected: false };
            self.queue.schedule_after(held, call);
            if self.random.chance(500) {
                return self.queue.schedule_after(SECOND, Event::End { incarnation });
            }
            return self.call_next(incarnation);
        }
        self.queue.schedule_after(delay, Event::Call { incarnation, replica, is_connected: true });
    }

    pub(crate) fn call_next(&mut self, incarnation: usize) {
        let caller = &mut self.incarnations[incarnation];
        caller.replica = (caller.replica + 1) % REPLICAS;
        self.queue.schedule_after(SECOND, Event::Leave { incarnation });
    }

    pub(crate) fn end(&mut self, incarnation: usize) {
        if std::mem::replace(&mut self.incarnations[incarnation].is_running, false) {
            let pause = self.random.between(200 * MILLI, 2 * SECOND);
            self.queue.schedule_after(pause, Event::Start);
        }
    }
}
