//! Report of saved results: a Markdown page with tables and plots.

use std::fs;
use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, bail};

use crate::report_lines::ReportLines;
use crate::report_page;
use crate::report_plot::PlotKind;

/// File name of the Markdown page.
const PAGE_FILE_NAME: &str = "report.md";

/// Reads result files and writes the report into `directory`; returns the path of the page.
///
/// # Errors
/// Where a file can't be read or written, or a line is not a result.
pub fn write_report(files: &[String], directory: &str) -> Result<PathBuf> {
    let mut lines = ReportLines::default();
    for file in files {
        let text = fs::read_to_string(file).wrap_err_with(|| format!("can't read {file}"))?;
        lines.add(file, &text)?;
    }
    if lines.runs.is_empty() {
        bail!("the files contain no result lines");
    }
    let directory = Path::new(directory);
    fs::create_dir_all(directory)
        .wrap_err_with(|| format!("can't create the directory {}", directory.display()))?;
    let mut plots = Vec::new();
    for kind in PlotKind::ALL {
        let svg = kind.draw(&kind.bars(&lines.runs))?;
        write_file(&directory.join(kind.file_name()), &svg)?;
        plots.push((kind, kind.file_name().to_owned()));
    }
    let page = directory.join(PAGE_FILE_NAME);
    write_file(&page, &report_page::render_page(&lines, &plots))?;
    Ok(page)
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).wrap_err_with(|| format!("can't write {}", path.display()))
}
