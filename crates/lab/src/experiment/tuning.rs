//! Overrides of single parameters of the cost function.

use juniper_routing::CostModel;

/// Override of one parameter.
#[derive(Clone, Debug)]
pub struct CostOverride {
    parameter: ParameterAccessor,
    value: f64,
}

/// Accessor of a parameter in the cost model.
type ParameterAccessor = fn(&mut CostModel) -> &mut f64;

/// Invalid override: unknown parameter or value that isn't a number.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not NAME=VALUE with a parameter of the cost function")]
pub struct CostOverrideError(String);

fn parameter(name: &str) -> Option<ParameterAccessor> {
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

impl std::str::FromStr for CostOverride {
    type Err = CostOverrideError;

    fn from_str(text: &str) -> Result<Self, CostOverrideError> {
        let fault = || CostOverrideError(text.to_owned());
        let (name, value) = text.split_once('=').ok_or_else(fault)?;
        let value = value.parse().map_err(|_| fault())?;
        Ok(CostOverride { parameter: parameter(name).ok_or_else(fault)?, value })
    }
}

impl CostOverride {
    /// Applies the override to the cost model.
    pub fn apply(&self, model: &mut CostModel) {
        *(self.parameter)(model) = self.value;
    }
}
