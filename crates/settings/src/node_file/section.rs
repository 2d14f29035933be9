//! Reader of a TOML document, key by key, that collects all faults.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

use serde::de::{DeserializeOwned, IntoDeserializer};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::NodeOverride;
use super::fault::{FaultLocation, NodeFault};

type Faults = Rc<RefCell<Vec<NodeFault>>>;

/// Overrides that no section has read yet, by dotted key.
type PendingOverrides = Rc<RefCell<BTreeMap<String, String>>>;

/// Parsed document with the faults found so far.
pub(super) struct Document<'i> {
    table: Option<Spanned<DeTable<'i>>>,
    faults: Faults,
    overrides: PendingOverrides,
}

impl<'i> Document<'i> {
    /// Parses `source` and records syntax errors as faults.
    pub fn parse(source: &'i str, overrides: &[NodeOverride]) -> Self {
        let (table, errors) = DeTable::parse_recoverable(source);
        let faults = errors.iter().map(syntax_fault).collect();
        let overrides = overrides.iter().map(|o| (o.key.clone(), o.value.clone())).collect();
        Document {
            table: Some(table),
            faults: Rc::new(RefCell::new(faults)),
            overrides: Rc::new(RefCell::new(overrides)),
        }
    }

    /// Takes the root section. Further calls return an empty section.
    pub fn root(&mut self) -> Section<'i> {
        let (table, span) = match self.table.take() {
            Some(table) => (table.get_ref().clone(), 0..0),
            None => (DeTable::new(), 0..0),
        };
        Section {
            prefix: String::new(),
            span,
            table,
            seen: BTreeMap::new(),
            faults: Rc::clone(&self.faults),
            overrides: Rc::clone(&self.overrides),
        }
    }

    /// Returns all faults, including those of overrides with unknown keys.
    pub fn into_faults(self) -> Vec<NodeFault> {
        let mut faults = self.faults.take();
        for (key, _) in self.overrides.take() {
            faults.push(NodeFault {
                key: key.clone(),
                message: "unknown key".to_owned(),
                allowed: "the keys of the node file, dotted".to_owned(),
                location: FaultLocation::Flag(key),
                line: None,
            });
        }
        faults
    }
}

fn syntax_fault(error: &toml::de::Error) -> NodeFault {
    NodeFault {
        key: String::new(),
        message: error.message().to_owned(),
        allowed: "TOML".to_owned(),
        location: FaultLocation::File(error.span().unwrap_or(0..0)),
        line: None,
    }
}

/// Table of the document.
pub(super) struct Section<'i> {
    prefix: String,
    span: Range<usize>,
    table: DeTable<'i>,
    seen: BTreeMap<String, FaultLocation>,
    faults: Faults,
    overrides: PendingOverrides,
}

impl<'i> Section<'i> {
    fn full_key(&self, key: &str) -> String {
        if self.prefix.is_empty() { key.to_owned() } else { format!("{}.{key}", self.prefix) }
    }

    fn take_value(&mut self, key: &str) -> Option<Spanned<DeValue<'i>>> {
        let (name, value) = self.table.remove_entry(key)?;
        let _ = name;
        self.seen.insert(key.to_owned(), FaultLocation::File(value.span()));
        Some(value)
    }

    /// Reads an optional value. A value that can't be deserialized is a fault.
    pub fn optional<T: DeserializeOwned>(&mut self, key: &str, allowed: &str) -> Option<T> {
        let in_file = self.take_value(key);
        let full_key = self.full_key(key);
        let flag = self.overrides.borrow_mut().remove(&full_key);
        let read = match flag {
            Some(text) => {
                self.seen.insert(key.to_owned(), FaultLocation::Flag(full_key));
                parse_flag(&text)
            }
            None => T::deserialize(in_file?.into_deserializer()),
        };
        match read {
            Ok(value) => Some(value),
            Err(error) => {
                let message = error.message().trim().replace('\n', " ");
                self.fault_at(key, message, allowed);
                None
            }
        }
    }

    /// Reads a required value. An absent value is a fault.
    pub fn required<T: DeserializeOwned>(&mut self, key: &str, allowed: &str) -> Option<T> {
        let value = self.optional(key, allowed);
        if !self.seen.contains_key(key) {
            self.fault_here(format!("{} is missing", self.full_key(key)), allowed);
        }
        value
    }

    /// Returns `value` if `accept` accepts it and records a fault otherwise.
    pub fn check<T>(
        &mut self,
        key: &str,
        value: Option<T>,
        accept: impl Fn(&T) -> bool,
        allowed: &str,
    ) -> Option<T> {
        let value = value?;
        if accept(&value) {
            return Some(value);
        }
        self.fault_at(key, "the value is not allowed", allowed);
        None
    }

    /// Reads the sub-table `key`, if it exists.
    pub fn table(&mut self, key: &str) -> Option<Section<'i>> {
        let value = self.take_value(key)?;
        self.subsection(key, self.full_key(key), value)
    }

    /// Reads the tables of the list `key`. Empty if the key is absent.
    pub fn tables(&mut self, key: &str) -> Vec<Section<'i>> {
        let Some(value) = self.take_value(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.into_inner() else {
            self.fault_at(key, "not a list", "a list of tables");
            return Vec::new();
        };
        let prefix = self.full_key(key);
        let items = items.into_iter().enumerate();
        items
            .filter_map(|(position, item)| {
                self.subsection(key, format!("{prefix}[{position}]"), item)
            })
            .collect()
    }

    fn subsection(
        &mut self,
        key: &str,
        prefix: String,
        value: Spanned<DeValue<'i>>,
    ) -> Option<Section<'i>> {
        let span = value.span();
        let DeValue::Table(table) = value.into_inner() else {
            self.fault_at(key, "not a table", "a table");
            return None;
        };
        Some(Section {
            prefix,
            span,
            table,
            seen: BTreeMap::new(),
            faults: Rc::clone(&self.faults),
            overrides: Rc::clone(&self.overrides),
        })
    }

    /// Records a fault for each key that wasn't read.
    pub fn finish(self) {
        let known: Vec<&str> = self.seen.keys().map(String::as_str).collect();
        for key in self.table.keys() {
            let fault = NodeFault {
                key: self.full_key(key.get_ref()),
                message: "unknown key".to_owned(),
                allowed: format!("the documented keys; this table has: {}", known.join(", ")),
                location: FaultLocation::File(key.span()),
                line: None,
            };
            self.faults.borrow_mut().push(fault);
        }
    }

    /// Records a fault of the value of `key`.
    pub fn fault_at(&self, key: &str, message: impl Into<String>, allowed: &str) {
        let location = self.seen.get(key).cloned();
        self.record_fault(self.full_key(key), message.into(), allowed, location);
    }

    /// Records a fault of the section itself.
    pub fn fault_here(&self, message: impl Into<String>, allowed: &str) {
        self.record_fault(self.prefix.clone(), message.into(), allowed, None);
    }

    fn record_fault(
        &self,
        key: String,
        message: String,
        allowed: &str,
        location: Option<FaultLocation>,
    ) {
        let location = location.unwrap_or_else(|| FaultLocation::File(self.span.clone()));
        let allowed = allowed.to_owned();
        self.faults.borrow_mut().push(NodeFault { key, message, allowed, location, line: None });
    }
}

/// Deserializes the text of a flag as a TOML value or, if that fails, as a plain string.
fn parse_flag<T: DeserializeOwned>(text: &str) -> Result<T, toml::de::Error> {
    let as_toml = DeValue::parse(text).and_then(|value| T::deserialize(value.into_deserializer()));
    as_toml.or_else(|error| {
        let plain: serde::de::value::StrDeserializer<'_, toml::de::Error> =
            text.into_deserializer();
        T::deserialize(plain).map_err(|_| error)
    })
}
