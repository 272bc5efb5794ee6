//! Plots of a report: horizontal bars per scenario and policy, as SVG.

use alderhaven_policy::policy_kind::PolicyKind;
use eyre::{Result, eyre};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoFont, RGBColor, Rectangle, SVGBackend, Text, WHITE,
};

use crate::run_line::{RunLine, rounded};

/// Dimensions of a plot: its width, the height of a row, and the height of title and axis.
const PLOT_WIDTH_PX: u32 = 800;
const BAR_HEIGHT_PX: usize = 24;
const FRAME_HEIGHT_PX: usize = 90;
/// Height of a bar as a share of its row.
const BAR_FILL_SHARE: f64 = 0.8;
/// Font sizes of labels and title.
const LABEL_SIZE_PX: i32 = 13;
const TITLE_SIZE_PX: i32 = 18;
/// Bar colors by policy.
const BASELINE_COLOR: RGBColor = RGBColor(200, 200, 200);
const CURRENT_COLOR: RGBColor = RGBColor(120, 170, 220);

/// Figure to plot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlotKind {
    /// 99th percentile of the latency.
    TailLatency,
    /// Share of the urgent queries that were answered in time.
    UrgentInTime,
    /// Useful work as a share of capacity.
    Goodput,
}

/// Mean of a figure over all seeds of a scenario and a policy.
#[derive(Clone, Debug, PartialEq)]
pub struct PlotBar {
    /// Scenario, deployment and policy, as printed on the bar.
    pub label: String,
    /// Policy that selects the color.
    pub policy: PolicyKind,
    /// Length of the bar.
    pub mean: f64,
}

impl PlotKind {
    /// All plots of a report, in their order on the page.
    pub const ALL: [Self; 3] = [Self::TailLatency, Self::UrgentInTime, Self::Goodput];

    /// Returns the title, with the unit.
    #[must_use]
    pub const fn title(self) -> &'static str {
        match self {
            Self::TailLatency => "p99 latency, ms",
            Self::UrgentInTime => "share of urgent queries in time",
            Self::Goodput => "goodput, share of capacity",
        }
    }

    /// Returns the name of the SVG file.
    #[must_use]
    pub const fn file_name(self) -> &'static str {
        match self {
            Self::TailLatency => "p99.svg",
            Self::UrgentInTime => "urgent-in-time.svg",
            Self::Goodput => "goodput.svg",
        }
    }

    const fn figure(self, line: &RunLine) -> Option<f64> {
        match self {
            Self::TailLatency => line.p99_ms,
            Self::UrgentInTime => line.urgent_in_time,
            Self::Goodput => Some(line.goodput),
        }
    }

    /// Averages the figure by scenario, deployment and policy, in the order of first appearance.
    #[must_use]
    pub fn bars(self, lines: &[RunLine]) -> Vec<PlotBar> {
        let mut sums: Vec<(PlotBar, f64)> = Vec::new();
        for line in lines {
            let Some(figure) = self.figure(line) else {
                continue;
            };
            let label = format!("{} {} {}", line.scenario, line.deployment, line.policy);
            let known = sums.iter().position(|(bar, _)| bar.label == label);
            let position = known.unwrap_or(sums.len());
            if known.is_none() {
                let bar = PlotBar {
                    label,
                    policy: line.policy,
                    mean: 0.0,
                };
                sums.push((bar, 0.0));
            }
            let (bar, count) = &mut sums[position];
            *count += 1.0;
            bar.mean += (figure - bar.mean) / *count;
        }
        sums.into_iter().map(|(bar, _)| bar).collect()
    }

    /// Renders the bars as an SVG document.
    ///
    /// # Errors
    /// Where the drawing fails.
    pub fn draw(self, bars: &[PlotBar]) -> Result<String> {
        let mut svg = String::new();
        let height = u32::try_from(FRAME_HEIGHT_PX + BAR_HEIGHT_PX * bars.len())?;
        let area = SVGBackend::with_string(&mut svg, (PLOT_WIDTH_PX, height)).into_drawing_area();
        area.fill(&WHITE).map_err(drawing_error)?;
        let longest = bars.iter().map(|bar| bar.mean).fold(0.0, f64::max);
        let end = if longest > 0.0 { longest * 1.05 } else { 1.0 };
        let rows = bars.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title(), ("sans-serif", TITLE_SIZE_PX).into_font())
            .margin(10)
            .x_label_area_size(30)
            .build_cartesian_2d(0.0..end, 0.0..rows)
            .map_err(drawing_error)?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_y_mesh().disable_y_axis();
        mesh.draw().map_err(drawing_error)?;
        let rectangles = bars.iter().enumerate().map(|(position, bar)| {
            // The first bar is at the top.
            let bottom = rows - position as f64 - 1.0;
            let color = match bar.policy {
                PolicyKind::Baseline => BASELINE_COLOR,
                PolicyKind::Current => CURRENT_COLOR,
            };
            let corners = [(0.0, bottom), (bar.mean, bottom + BAR_FILL_SHARE)];
            Rectangle::new(corners, color.filled())
        });
        chart.draw_series(rectangles).map_err(drawing_error)?;
        let labels = bars.iter().enumerate().map(|(position, bar)| {
            let top = rows - position as f64 - 1.0 + BAR_FILL_SHARE;
            let label = format!("{}: {}", bar.label, rounded(bar.mean));
            let font = ("sans-serif", LABEL_SIZE_PX).into_font();
            Text::new(label, (end * 0.01, top), font)
        });
        chart.draw_series(labels).map_err(drawing_error)?;
        drop(chart);
        area.present().map_err(drawing_error)?;
        drop(area);
        Ok(svg)
    }
}

fn drawing_error(error: impl std::fmt::Display) -> eyre::Report {
    eyre!("can't draw the plot: {error}")
}
