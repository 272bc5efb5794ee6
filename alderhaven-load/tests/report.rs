//! Parsing of saved lines, tables and plots.

mod common;

use alderhaven_load::cpu_clock::CpuShares;
use alderhaven_load::report_lines::ReportLines;
use alderhaven_load::report_page;
use alderhaven_load::report_plot::PlotKind;
use alderhaven_load::run_line::{RatioLine, RunLine};
use alderhaven_load::run_options::RunOptions;
use alderhaven_load::run_tally::RunTally;
use alderhaven_load::workload::Workload;
use alderhaven_policy::policy_kind::PolicyKind;
use common::{complete_answer, duplicate_check, reply};

fn line(policy: PolicyKind, seed: u64, latency_ms: u64) -> RunLine {
    let options = RunOptions {
        policy,
        seed,
        ..RunOptions::default()
    };
    let workload = Workload::for_deployment(options.deployment).unwrap();
    let mut tally = RunTally::new(&options, &workload);
    let query = duplicate_check(1, 3_000);
    tally.add(&query, &reply(&query, latency_ms, &complete_answer(&query)));
    tally.line(3, CpuShares::default())
}

fn lines() -> ReportLines {
    let baseline = line(PolicyKind::Baseline, 1, 400);
    let mut current = line(PolicyKind::Current, 1, 100);
    current.figures.insert("ejections".to_owned(), Some(2.0));
    current.figures.insert("back_to_steady_ms".to_owned(), None);
    let ratio = RatioLine::from_runs(&current, &baseline);
    let more = line(PolicyKind::Current, 2, 200);
    let json = |line: &RunLine| serde_json::to_string(line).unwrap();
    let ratio = serde_json::to_string(&ratio).unwrap();
    let text = [
        json(&baseline),
        json(&current),
        ratio,
        String::new(),
        json(&more),
    ]
    .join("\n");
    let mut lines = ReportLines::default();
    lines.add("saved.jsonl", &text).unwrap();
    lines
}

#[test]
fn add_separates_runs_and_ratios() {
    let lines = lines();
    assert_eq!((lines.runs.len(), lines.ratios.len()), (3, 1));
    let error = ReportLines::default().add("other.jsonl", "\n{\"a\":1}");
    assert!(error.unwrap_err().to_string().contains("other.jsonl:2"));
}

#[test]
fn page_rows_and_plots() {
    let plots = [(PlotKind::Goodput, "goodput.svg".to_owned())];
    let page = report_page::render_page(&lines(), &plots);
    assert!(page.contains("| steady | volta | baseline | 1 | 0.7 | 1 | 1 | 0 |"));
    assert!(page.contains("| steady | current | 1 | ejections | 2 |"));
    assert!(page.contains("| steady | current | 1 | back_to_steady_ms | – |"));
    assert!(page.contains("(goodput.svg)"));
    // All rows of a table have as many columns as its header.
    for table in page.split("\n\n").filter(|part| part.starts_with('|')) {
        let widths: Vec<usize> = table.lines().map(|row| row.matches('|').count()).collect();
        assert!(widths.iter().all(|width| *width == widths[0]), "{table}");
    }
}

#[test]
fn bars_mean_over_seeds() {
    let bars = PlotKind::TailLatency.bars(&lines().runs);
    assert_eq!(bars.len(), 2);
    assert!((399.0..402.0).contains(&bars[0].mean));
    assert!((149.0..152.0).contains(&bars[1].mean));
    let svg = PlotKind::TailLatency.draw(&bars).unwrap();
    assert!(svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
    assert!(svg.contains("steady volta current: 15"));
}
