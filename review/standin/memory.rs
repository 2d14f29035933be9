//! Kept prompt parts of model servers and of a store, each with the weights that made it.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex};

/// Part that is kept, under its salt and after all parts before it.
#[derive(Clone, Debug)]
pub struct Part {
    pub tokens: u64,
    /// Version of the weights under which all of it was read; `None` if they changed meanwhile.
    pub made_under: Option<u64>,
    pub made_by: String,
    last_use: u64,
}

/// Kept parts at one address; those unused for longest give way.
#[derive(Debug, Default)]
pub struct Memory {
    parts: HashMap<(String, String), Part>,
    uses: u64,
    capacity: u64,
}

impl Memory {
    pub fn with_capacity(capacity: u64) -> Self {
        Memory { capacity, ..Memory::default() }
    }

    pub fn find(&mut self, salt: &str, chain: &str) -> Option<Part> {
        self.uses += 1;
        let part = self.parts.get_mut(&(salt.to_owned(), chain.to_owned()))?;
        part.last_use = self.uses;
        Some(part.clone())
    }

    /// Keeps a part; one that is there already stays as it was first made.
    pub fn keep(&mut self, salt: &str, chain: &str, part: Part) {
        self.uses += 1;
        let uses = self.uses;
        let kept = self.parts.entry((salt.to_owned(), chain.to_owned())).or_insert(part);
        kept.last_use = uses;
        while self.parts.values().map(|part| part.tokens).sum::<u64>() > self.capacity {
            let oldest = self.parts.iter().min_by_key(|(_, part)| part.last_use);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else { return };
            self.parts.remove(&key);
        }
    }

    pub fn clear(&mut self) {
        self.parts.clear();
    }
}

impl Part {
    pub fn new(tokens: u64, made_under: Option<u64>, made_by: &str) -> Self {
        Part { tokens, made_under, made_by: made_by.to_owned(), last_use: 0 }
    }
}

/// Turns at the processor of a server, in the order in which they are asked for.
#[derive(Default)]
pub struct Turns {
    tickets: Mutex<(u64, u64)>,
    changed: Condvar,
}

impl Turns {
    pub fn take(&self) {
        let mut tickets = self.tickets.lock().unwrap();
        let own = tickets.0;
        tickets.0 += 1;
        while tickets.1 != own {
            tickets = self.changed.wait(tickets).unwrap();
        }
    }

    pub fn release(&self) {
        self.tickets.lock().unwrap().1 += 1;
        self.changed.notify_all();
    }
}
