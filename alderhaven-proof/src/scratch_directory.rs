//! A temporary directory for the files of a test.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::{fs, process};

use eyre::Result;
use serde::Serialize;

/// The number of directories that this process has created, which makes their names unique.
static CREATED_COUNT: AtomicU32 = AtomicU32::new(0);

/// A directory that is removed on drop.
#[derive(Debug)]
pub struct ScratchDirectory {
    directory: PathBuf,
}

impl ScratchDirectory {
    /// Creates a directory under `base` with a name unique to this process and call.
    ///
    /// # Errors
    /// The directory can't be created.
    pub fn new(base: &Path) -> Result<Self> {
        let number = CREATED_COUNT.fetch_add(1, Ordering::Relaxed);
        let directory = base.join(format!("proof-{}-{number}", process::id()));
        fs::create_dir_all(&directory)?;
        Ok(Self { directory })
    }

    /// Returns the path of a file in the directory.
    #[must_use]
    pub fn file_path(&self, name: &str) -> String {
        self.directory.join(name).display().to_string()
    }

    /// Writes a file as JSON, which is valid YAML too, and returns its path.
    ///
    /// The name may contain directories, which are created.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write_json(&self, name: &str, content: &impl Serialize) -> Result<String> {
        let path = self.directory.join(name);
        fs::create_dir_all(path.parent().unwrap_or(&self.directory))?;
        fs::write(&path, serde_json::to_vec_pretty(content)?)?;
        Ok(path.display().to_string())
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        // Files that can't be removed stay in the build's temporary directory.
        let _result = fs::remove_dir_all(&self.directory);
    }
}
