//! Markdown page of a report.

use crate::report_lines::ReportLines;
use crate::report_plot::PlotKind;
use crate::run_line::{RatioLine, RunLine};

/// Header of the table of results.
const RUN_COLUMNS: [&str; 20] = [
    "scenario",
    "deployment",
    "policy",
    "seed",
    "load",
    "offered",
    "complete",
    "partial",
    "refused",
    "failed",
    "late",
    "p50 ms",
    "p99 ms",
    "urgent p99 ms",
    "urgent in time",
    "goodput",
    "fairness",
    "coverage",
    "extra load",
    "violations",
];
/// Header of the table of ratios.
const RATIO_COLUMNS: [&str; 9] = [
    "scenario",
    "seed",
    "p50",
    "p99",
    "urgent p99",
    "urgent in time",
    "goodput",
    "coverage",
    "extra load",
];
/// Headers of the tables of scenario figures and of machine usage.
const FIGURE_COLUMNS: [&str; 5] = ["scenario", "policy", "seed", "figure", "value"];
const MACHINE_COLUMNS: [&str; 6] = [
    "scenario",
    "policy",
    "seed",
    "machine busy",
    "processor share",
    "send lag p99 ms",
];

/// Renders the tables, and links to the given plot files.
#[must_use]
pub fn render_page(lines: &ReportLines, plots: &[(PlotKind, String)]) -> String {
    let mut page = String::from("# Results of load runs\n");
    page.push_str("\nLatencies are measured from the due time of a query. `extra load` is the number of attempts that the targets ran, divided by the minimum for the answers.\n");
    add_section(
        &mut page,
        "Results",
        &RUN_COLUMNS,
        table_rows(&lines.runs, run_row),
    );
    let ratios = table_rows(&lines.ratios, ratio_row);
    add_section(&mut page, "Current over baseline", &RATIO_COLUMNS, ratios);
    let figures = lines.runs.iter().flat_map(figure_rows).collect();
    add_section(&mut page, "Scenario figures", &FIGURE_COLUMNS, figures);
    let machine = table_rows(&lines.runs, machine_row);
    add_section(&mut page, "The machine", &MACHINE_COLUMNS, machine);
    if !plots.is_empty() {
        page.push_str("\n## Plots\n\nMeans over all seeds.\n");
        for (kind, file) in plots {
            page.extend(["\n![", kind.title(), "](", file, ")\n"]);
        }
    }
    page
}

fn table_rows<T>(lines: &[T], row: impl Fn(&T) -> Vec<String>) -> Vec<Vec<String>> {
    lines.iter().map(row).collect()
}

/// Appends a heading and a table; nothing if there are no rows.
fn add_section(page: &mut String, title: &str, columns: &[&str], rows: Vec<Vec<String>>) {
    if rows.is_empty() {
        return;
    }
    let head = columns.join(" | ");
    let rule = vec!["---"; columns.len()].join("|");
    page.extend(["\n## ", title, "\n\n| ", &head, " |\n|", &rule, "|\n"]);
    for row in rows {
        page.extend(["| ", &row.join(" | "), " |\n"]);
    }
}

fn run_row(line: &RunLine) -> Vec<String> {
    vec![
        line.scenario.to_string(),
        line.deployment.to_string(),
        line.policy.to_string(),
        line.seed.to_string(),
        line.load.to_string(),
        line.offered.to_string(),
        line.complete.to_string(),
        line.partial.to_string(),
        line.refused_not_run.to_string(),
        line.failed.to_string(),
        line.late.to_string(),
        figure_text(line.p50_ms),
        figure_text(line.p99_ms),
        figure_text(line.urgent_p99_ms),
        figure_text(line.urgent_in_time),
        line.goodput.to_string(),
        line.fairness.to_string(),
        figure_text(line.coverage),
        figure_text(line.extra_load),
        line.violations.total().to_string(),
    ]
}

fn ratio_row(line: &RatioLine) -> Vec<String> {
    vec![
        line.scenario.to_string(),
        line.seed.to_string(),
        figure_text(line.p50),
        figure_text(line.p99),
        figure_text(line.urgent_p99),
        figure_text(line.urgent_in_time),
        figure_text(line.goodput),
        figure_text(line.coverage),
        figure_text(line.extra_load),
    ]
}

fn figure_rows(line: &RunLine) -> Vec<Vec<String>> {
    let figures = line.figures.iter();
    figures
        .map(|(name, figure)| {
            vec![
                line.scenario.to_string(),
                line.policy.to_string(),
                line.seed.to_string(),
                name.clone(),
                figure_text(*figure),
            ]
        })
        .collect()
}

fn machine_row(line: &RunLine) -> Vec<String> {
    vec![
        line.scenario.to_string(),
        line.policy.to_string(),
        line.seed.to_string(),
        line.machine_busy.to_string(),
        line.cpu_share.to_string(),
        figure_text(line.send_lag_p99_ms),
    ]
}

/// Formats a figure; a dash if there is none.
fn figure_text(figure: Option<f64>) -> String {
    figure.map_or_else(|| "–".to_owned(), |figure| figure.to_string())
}
