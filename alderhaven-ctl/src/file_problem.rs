//! A problem found in a configuration file, with its line where that is known.

use std::fmt;
use std::path::Path;

use serde::Serialize;

/// A problem in a file, displayed as `path:line: field: reason`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FileProblem {
    /// The path of the file, from the paths on the command line.
    pub path: String,
    /// The line, counted from 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// The dot-separated path of the field within the object.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// What is wrong and, for a value, what is allowed.
    pub reason: String,
}

impl FileProblem {
    /// Returns a problem with the file as a whole.
    pub fn for_file(path: impl AsRef<Path>, reason: impl fmt::Display) -> Self {
        Self {
            path: path.as_ref().display().to_string(),
            line: None,
            field: None,
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for FileProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.path)?;
        if let Some(line) = self.line {
            write!(formatter, ":{line}")?;
        }
        formatter.write_str(": ")?;
        if let Some(field) = &self.field {
            write!(formatter, "{field}: ")?;
        }
        formatter.write_str(&self.reason)
    }
}
