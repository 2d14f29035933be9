//! How answers are printed: text for people, JSON for scripts.

use serde_json::Value;

use crate::arguments::ArgumentError;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For scripts.
    Json,
}

impl Format {
    /// Reads the value of `--format`.
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

/// Prints `value` on standard output.
pub fn print(value: &Value, format: Format) {
    match format {
        Format::Json => println!("{value}"),
        Format::Text => print_text(value, 0),
    }
}

/// One line of key=value pairs for each entry of a list; indented otherwise.
fn print_text(value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                print_field(key, field, depth);
            }
        }
        Value::Array(entries) => {
            for entry in entries {
                println!("{}{}", indent(depth), pairs(entry));
            }
        }
        scalar => println!("{}{}", indent(depth), plain(scalar)),
    }
}

fn print_field(key: &str, field: &Value, depth: usize) {
    match field {
        Value::Object(_) | Value::Array(_) => {
            println!("{}{key}:", indent(depth));
            print_text(field, depth + 1);
        }
        scalar => println!("{}{key}: {}", indent(depth), plain(scalar)),
    }
}

fn indent(depth: usize) -> String {
    "  ".repeat(depth)
}

fn pairs(entry: &Value) -> String {
    match entry {
        Value::Object(fields) => {
            let pairs: Vec<String> =
                fields.iter().map(|(key, value)| format!("{key}={}", plain(value))).collect();
            pairs.join(" ")
        }
        other => plain(other),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
