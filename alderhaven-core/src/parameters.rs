//! Parameters of queries: typed values, their specifications and their canonical JSON.

use std::collections::BTreeMap;
use std::fmt;

use serde::de;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::errors::{Error, Result};

/// Maximum number of parameters of a template, and of values in a query.
pub const MAX_PARAMETERS: usize = 32;

/// Maximum length of a text parameter whose specification sets none.
pub const DEFAULT_MAX_TEXT_BYTES: usize = 1024;

/// Value of one parameter, written as plain JSON.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "allowed is true or false, a whole number or a text"
)]
pub enum ParameterValue {
    /// True or false.
    Boolean(bool),
    /// A whole number.
    Integer(i64),
    /// A string.
    Text(String),
}

impl fmt::Display for ParameterValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Boolean(value) => value.fmt(formatter),
            Self::Integer(value) => value.fmt(formatter),
            Self::Text(value) => value.fmt(formatter),
        }
    }
}

/// Parameter values of a query by name.
///
/// Sets with equal values have the same canonical JSON. Deserialization rejects duplicate names.
#[derive(Clone, Debug, Default, Eq, PartialEq, Hash, Serialize)]
#[serde(transparent)]
pub struct ParameterSet(pub BTreeMap<String, ParameterValue>);

impl ParameterSet {
    /// Returns the value of a parameter, if the set has one.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&ParameterValue> {
        self.0.get(name)
    }

    /// Returns the canonical JSON: names in ascending order, without white space.
    #[must_use]
    pub fn canonical_json(&self) -> String {
        serde_json::to_string(&self.0).unwrap_or_default()
    }
}

impl<'de> Deserialize<'de> for ParameterSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_map(ParameterSetVisitor)
    }
}

/// Stops at the first excess value instead of reading the whole map.
struct ParameterSetVisitor;

impl<'de> Visitor<'de> for ParameterSetVisitor {
    type Value = ParameterSet;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("values by name")
    }

    fn visit_map<A: MapAccess<'de>>(
        self,
        mut access: A,
    ) -> std::result::Result<ParameterSet, A::Error> {
        let mut values = BTreeMap::new();
        while let Some(name) = access.next_key::<String>()? {
            if values.contains_key(&name) {
                return Err(de::Error::custom(Error::invalid(
                    format!("parameters.{name}"),
                    "is given twice",
                )));
            }
            if values.len() == MAX_PARAMETERS {
                return Err(de::Error::custom(Error::invalid(
                    "parameters",
                    format!("at most {MAX_PARAMETERS} are allowed"),
                )));
            }
            let value = access
                .next_value()
                .map_err(|error| de::Error::custom(format!("parameters.{name}: {error}")))?;
            values.insert(name, value);
        }
        Ok(ParameterSet(values))
    }
}

/// Type of a parameter with its bounds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum ParameterKind {
    /// True or false.
    Boolean,
    /// A whole number from `min` to `max`, inclusive.
    Integer {
        /// The lowest allowed value.
        min: i64,
        /// The highest allowed value.
        max: i64,
    },
    /// A text of bounded length.
    Text {
        /// The maximum length in bytes.
        #[serde(default = "default_max_length")]
        max_length: usize,
    },
    /// One of the listed texts.
    Choice {
        /// The texts that a caller may give.
        #[serde(rename = "of")]
        allowed_values: Vec<String>,
    },
}

const fn default_max_length() -> usize {
    DEFAULT_MAX_TEXT_BYTES
}

impl ParameterKind {
    /// Checks the value of parameter `name` against the type and its bounds.
    ///
    /// # Errors
    /// `Error::Invalid` with the parameter's name, the value and what is allowed.
    pub fn check(&self, name: &str, value: &ParameterValue) -> Result<()> {
        let allowed = match (self, value) {
            (Self::Boolean, ParameterValue::Boolean(_)) => return Ok(()),
            (Self::Integer { min, max }, ParameterValue::Integer(number))
                if (min..=max).contains(&number) =>
            {
                return Ok(());
            }
            (Self::Text { max_length }, ParameterValue::Text(text))
                if text.len() <= *max_length =>
            {
                return Ok(());
            }
            (Self::Choice { allowed_values }, ParameterValue::Text(text))
                if allowed_values.contains(text) =>
            {
                return Ok(());
            }
            (kind, _) => kind.to_string(),
        };
        Err(Error::invalid(
            format!("parameters.{name}"),
            format!("`{value}` is refused: allowed is {allowed}"),
        ))
    }
}

impl fmt::Display for ParameterKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Boolean => formatter.write_str("true or false"),
            Self::Integer { min, max } => {
                write!(formatter, "a whole number from {min} to {max}")
            }
            Self::Text { max_length } => {
                write!(formatter, "a text of at most {max_length} bytes")
            }
            Self::Choice { allowed_values } => {
                write!(formatter, "one of {}", allowed_values.join(", "))
            }
        }
    }
}

/// Specification of one parameter of a template.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ParameterSpec {
    /// The type and its bounds.
    pub kind: ParameterKind,
    /// The value used if the caller gives none. A parameter without a default is required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default: Option<ParameterValue>,
}
