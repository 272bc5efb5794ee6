//! The difference between two contents of an object, field by field.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A `FieldChange` is one field that two contents do not share.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// The field's path, for example `parameters.title.default`.
    pub field: String,
    /// The value in the old content, none where it lacks the field.
    pub old: Option<Value>,
    /// The value in the new content, none where it lacks the field.
    pub new: Option<Value>,
}

impl FieldChange {
    /// Gets all fields that differ between two JSON texts; none stands for no object.
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

/// Gets the leaves of a JSON object by path; a text that is no JSON is one leaf.
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
