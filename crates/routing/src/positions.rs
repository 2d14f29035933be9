//! Positions of engines in the table, by engine number.

use std::collections::HashMap;

use juniper_types::EngineId;

use crate::groups::Position;

/// Numbers below this are looked up in an array: a decision may look up each of
/// 1,500 holders, and fleets number their engines from small numbers on.
const DENSE_NUMBERS: usize = 1 << 16;

/// Marks a number without an engine.
const NONE: Position = Position::MAX;

#[derive(Clone, Debug, Default)]
pub(crate) struct Positions {
    dense: Vec<Position>,
    sparse: HashMap<EngineId, Position>,
}

impl Positions {
    pub(crate) fn get(&self, engine: EngineId) -> Option<Position> {
        match self.dense.get(engine.0 as usize) {
            Some(&NONE) => None,
            Some(position) => Some(*position),
            None => self.sparse.get(&engine).copied(),
        }
    }

    pub(crate) fn insert(&mut self, engine: EngineId, position: Position) {
        let number = engine.0 as usize;
        if number >= DENSE_NUMBERS {
            self.sparse.insert(engine, position);
            return;
        }
        if number >= self.dense.len() {
            self.dense.resize(number + 1, NONE);
        }
        self.dense[number] = position;
    }

    pub(crate) fn remove(&mut self, engine: EngineId) {
        match self.dense.get_mut(engine.0 as usize) {
            Some(position) => *position = NONE,
            None => {
                self.sparse.remove(&engine);
            }
        }
    }
}
