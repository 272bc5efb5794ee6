//! The settings files of a proof's processes.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::{fs, process};

use eyre::Result;
use serde::Serialize;

/// The number of directories that this process has made.
static CREATED_COUNT: AtomicU32 = AtomicU32::new(0);

/// A `ScratchFiles` is a directory that is removed on drop.
#[derive(Debug)]
pub struct ScratchDirectory {
    directory: PathBuf,
}

impl ScratchDirectory {
    /// Makes an empty directory under `base`.
    ///
    /// # Errors
    /// Where it can't be made.
    pub fn new(base: &Path) -> Result<Self> {
        let number = CREATED_COUNT.fetch_add(1, Ordering::Relaxed);
        let directory = base.join(format!("proof-{}-{number}", process::id()));
        fs::create_dir_all(&directory)?;
        Ok(Self { directory })
    }

    /// Gets the path of a file.
    #[must_use]
    pub fn file_path(&self, name: &str) -> String {
        self.directory.join(name).display().to_string()
    }

    /// Writes a file as JSON, which YAML readers take, and gets its path.
    ///
    /// The name may hold folders.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn write_json(&self, name: &str, content: &impl Serialize) -> Result<String> {
        let path = self.directory.join(name);
        fs::create_dir_all(path.parent().unwrap_or(&self.directory))?;
        fs::write(&path, serde_json::to_vec_pretty(content)?)?;
        Ok(path.display().to_string())
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        // What can't be removed is left in the build's own scratch directory.
        let _left = fs::remove_dir_all(&self.directory);
    }
}
