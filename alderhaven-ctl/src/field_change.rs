//! The field-by-field difference between two JSON contents of an object.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One field whose value differs between two contents.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// The dot-separated path, for example `parameters.title.default`.
    pub field: String,
    /// The value in the old content; `None` if the field is absent.
    pub old: Option<Value>,
    /// The value in the new content; `None` if the field is absent.
    pub new: Option<Value>,
}

impl FieldChange {
    /// Gets the fields that differ between two JSON texts, sorted by path; `None` has no fields.
    #[must_use]
    pub fn between(old: Option<&str>, new: Option<&str>) -> Vec<Self> {
        let (old, new) = (flatten_fields(old), flatten_fields(new));
        let mut changes: Vec<Self> = old
            .iter()
            .filter(|(field, value)| new.get(*field) != Some(value))
            .map(|(field, value)| Self {
                field: field.clone(),
                old: Some(value.clone()),
                new: new.get(field).cloned(),
            })
            .collect();
        changes.extend(
            new.iter()
                .filter(|(field, _)| !old.contains_key(*field))
                .map(|(field, value)| Self {
                    field: field.clone(),
                    old: None,
                    new: Some(value.clone()),
                }),
        );
        changes.sort_by(|a, b| a.field.cmp(&b.field));
        changes
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(formatter, "~ {}: {old} -> {new}", self.field),
            (Some(old), None) => write!(formatter, "- {}: {old}", self.field),
            (None, Some(new)) => write!(formatter, "+ {}: {new}", self.field),
            (None, None) => write!(formatter, "  {}", self.field),
        }
    }
}

/// Gets the leaves of a JSON object by path; a text that isn't JSON is a single leaf.
fn flatten_fields(text: Option<&str>) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    if let Some(text) = text {
        let value = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()));
        collect_leaves(String::new(), value, &mut fields);
    }
    fields
}

fn collect_leaves(path: String, value: Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(members) if !members.is_empty() => {
            for (name, member) in members {
                let child = if path.is_empty() {
                    name
                } else {
                    format!("{path}.{name}")
                };
                collect_leaves(child, member, fields);
            }
        }
        leaf => {
            fields.insert(path, leaf);
        }
    }
}
