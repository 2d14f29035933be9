//! Changes of single constants of the cost function, for tuning.

use juniper_routing::CostModel;

/// One constant and its new value.
#[derive(Clone, Debug)]
pub struct CostChange {
    constant: Constant,
    value: f64,
}

/// Where a constant stands in the model.
type Constant = fn(&mut CostModel) -> &mut f64;

/// A text names no constant or no value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not NAME=VALUE of a constant of the cost function")]
pub struct CostChangeError(String);

fn constant(name: &str) -> Option<Constant> {
    Some(match name {
        "token_us" => |model| &mut model.token_us,
        "import_block_us" => |model| &mut model.import_block_us,
        "busy_start_us" => |model| &mut model.busy_start_us,
        "near_equal_us" => |model| &mut model.near_equal_us,
        "max_queue_us" => |model| &mut model.max_queue_us,
        "max_queue_share" => |model| &mut model.max_queue_share,
        "room_factor" => |model| &mut model.room_factor,
        "calm_queue_us" => |model| &mut model.short_queue_us,
        "waste_factor" => |model| &mut model.waste_factor,
        "congestion_factor" => |model| &mut model.congestion_factor,
        "pressure_factor" => |model| &mut model.pressure_factor,
        _ => return None,
    })
}

impl std::str::FromStr for CostChange {
    type Err = CostChangeError;

    fn from_str(text: &str) -> Result<Self, CostChangeError> {
        let fault = || CostChangeError(text.to_owned());
        let (name, value) = text.split_once('=').ok_or_else(fault)?;
        let value = value.parse().map_err(|_| fault())?;
        Ok(CostChange { constant: constant(name).ok_or_else(fault)?, value })
    }
}

impl CostChange {
    /// Makes the change.
    pub fn apply(&self, model: &mut CostModel) {
        *(self.constant)(model) = self.value;
    }
}
