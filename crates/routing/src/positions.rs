//! Map from engine numbers to positions in the engine table.

use std::collections::HashMap;

use juniper_types::EngineId;

use crate::groups::Position;

/// Engine numbers below this bound use an array, because one decision may look
/// up each of 1,500 holders, and fleets number their engines from small numbers on.
const DENSE_ENGINE_NUMBERS: usize = 1 << 16;

/// Array entry of a number without an engine.
const VACANT: Position = Position::MAX;

#[derive(Clone, Debug, Default)]
pub(crate) struct Positions {
    dense: Vec<Position>,
    sparse: HashMap<EngineId, Position>,
}

impl Positions {
    pub(crate) fn get(&self, engine: EngineId) -> Option<Position> {
        match self.dense.get(engine.0 as usize) {
            Some(&VACANT) => None,
            Some(position) => Some(*position),
            None => self.sparse.get(&engine).copied(),
        }
    }

    pub(crate) fn insert(&mut self, engine: EngineId, position: Position) {
        let number = engine.0 as usize;
        if number >= DENSE_ENGINE_NUMBERS {
            self.sparse.insert(engine, position);
            return;
        }
        if number >= self.dense.len() {
            self.dense.resize(number + 1, VACANT);
        }
        self.dense[number] = position;
    }

    pub(crate) fn remove(&mut self, engine: EngineId) {
        match self.dense.get_mut(engine.0 as usize) {
            Some(position) => *position = VACANT,
            None => {
                self.sparse.remove(&engine);
            }
        }
    }
}
