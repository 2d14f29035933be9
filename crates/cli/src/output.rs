//! Output formats of command results.

use serde_json::Value;

use crate::arguments::ArgumentError;

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON, for scripts.
    Json,
}

impl Format {
    /// Parses the value of `--format`.
    pub fn parse(text: &str) -> Result<Self, ArgumentError> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(ArgumentError::Value {
                name: "--format",
                value: other.to_owned(),
                allowed: "text or json",
            }),
        }
    }
}

/// Prints `value` to standard output.
pub fn print(value: &Value, format: Format) {
    match format {
        Format::Json => println!("{value}"),
        Format::Text => print_text(value, 0),
    }
}

/// Prints objects indented and list entries as one line of `key=value` pairs each.
fn print_text(value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                print_field(key, field, depth);
            }
        }
        Value::Array(entries) => {
            for entry in entries {
                println!("{}{}", indent(depth), format_entry(entry));
            }
        }
        scalar => println!("{}{}", indent(depth), format_scalar(scalar)),
    }
}

fn print_field(key: &str, field: &Value, depth: usize) {
    match field {
        Value::Object(_) | Value::Array(_) => {
            println!("{}{key}:", indent(depth));
            print_text(field, depth + 1);
        }
        scalar => println!("{}{key}: {}", indent(depth), format_scalar(scalar)),
    }
}

fn indent(depth: usize) -> String {
    "  ".repeat(depth)
}

fn format_entry(entry: &Value) -> String {
    match entry {
        Value::Object(fields) => {
            let pairs: Vec<String> = fields
                .iter()
                .map(|(key, value)| format!("{key}={}", format_scalar(value)))
                .collect();
            pairs.join(" ")
        }
        other => format_scalar(other),
    }
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
