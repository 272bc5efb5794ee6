//! What `alderctl` does: files are checked, compared with the store, published and followed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod file_check;
pub mod file_problem;
pub mod line_index;
pub mod object_file;
