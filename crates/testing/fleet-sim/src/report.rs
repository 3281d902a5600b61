//! Report of an experiment: SVG plots, and a self-contained HTML page that includes them.

use crate::experiment::{Row, FIGURES};
use crate::record::Second;
use crate::statistics::{estimate, Estimate};
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

const SIZE: (u32, u32) = (760, 340);
/// Figures with a plot of their own; the table lists all figures.
const PLOTTED: [&str; 6] =
    ["goodput", "refused_with_room", "attempts", "p99_ms", "load_spread", "over_ceiling"];

/// SVG plots with their file names, without the extension.
pub type Plots = Vec<(String, String)>;

type PlotError = Box<dyn std::error::Error>;

/// Rows grouped by arm and by swept values.
struct Table<'a> {
    arms: Vec<&'a str>,
    /// Parameter on the x axis: the first with more than one value.
    swept: Option<&'a str>,
    cells: BTreeMap<(usize, Vec<&'a str>), Vec<&'a Row>>,
}

impl<'a> Table<'a> {
    fn new(rows: &'a [Row]) -> Self {
        let mut arms: Vec<&str> = Vec::new();
        let mut cells: BTreeMap<_, Vec<&Row>> = BTreeMap::new();
        let mut values: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for row in rows {
            let arm = arms.iter().position(|a| *a == row.arm).unwrap_or_else(|| {
                arms.push(&row.arm);
                arms.len() - 1
            });
            for (name, value) in &row.point {
                values.entry(name).or_default().insert(value);
            }
            let point = row.point.values().map(String::as_str).collect();
            cells.entry((arm, point)).or_default().push(row);
        }
        let swept = values.into_iter().find(|(_, v)| v.len() > 1).map(|(name, _)| name);
        Table { arms, swept, cells }
    }

    /// Returns a figure's estimates along the swept parameter, pooled over the other swept parameters.
    fn along(&self, arm: usize, figure: &str) -> Vec<(f64, Estimate)> {
        let Some(swept) = self.swept else { return Vec::new() };
        let mut by: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for row in self.cells.iter().filter(|((a, _), _)| *a == arm).flat_map(|(_, rows)| rows) {
            if let (Some(x), Some(y)) = (row.point.get(swept), row.figures.get(figure)) {
                by.entry(x).or_default().push(*y);
            }
        }
        let to_point =
            |(n, (x, values)): (usize, (&&str, &Vec<f64>))| (x.parse().unwrap_or(n as f64), estimate(values));
        let mut line: Vec<(f64, Estimate)> = by.iter().enumerate().map(to_point).collect();
        line.sort_by(|a, b| a.0.total_cmp(&b.0));
        line
    }
}

/// Returns the range of the values with a small margin; never empty.
fn range(values: impl Iterator<Item = f64>, from_zero: bool) -> std::ops::Range<f64> {
    let (mut low, mut high) = (f64::INFINITY, f64::NEG_INFINITY);
    for v in values.filter(|v| v.is_finite()) {
        (low, high) = (low.min(v), high.max(v));
    }
    if low > high {
        (low, high) = (0.0, 1.0);
    }
    if from_zero {
        low = low.min(0.0);
    }
    let padding = ((high - low) * 0.05).max(high.abs() * 0.01).max(1e-6);
    (if from_zero && low == 0.0 { 0.0 } else { low - padding })..high + padding
}

/// One line of a plot: its name, its points, and their interval bars if any.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
    bars: Vec<(f64, f64, f64)>,
}

fn plot(title: &str, x: &str, lines: &[Line], from_zero: bool) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let xs = range(lines.iter().flat_map(|l| l.points.iter().map(|p| p.0)), false);
        let all = |l: &Line| {
            let bars = l.bars.iter().flat_map(|b| [b.1, b.2]);
            l.points.iter().map(|p| p.1).chain(bars).collect::<Vec<_>>()
        };
        let ys = range(lines.iter().flat_map(all), from_zero);
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(60)
            .build_cartesian_2d(xs, ys)?;
        chart.configure_mesh().x_desc(x).light_line_style(WHITE).draw()?;
        for (n, line) in lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), color.stroke_width(2)))?
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
            let bar = |b: &(f64, f64, f64)| PathElement::new([(b.0, b.1), (b.0, b.2)], color.stroke_width(1));
            chart.draw_series(line.bars.iter().map(bar))?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn timeline(arm: &str, seconds: &[Second]) -> Result<String, PlotError> {
    let line = |name: &str, of: fn(&Second) -> u64| Line {
        name: name.into(),
        points: seconds.iter().enumerate().map(|(n, s)| (n as f64, of(s) as f64)).collect(),
        bars: Vec::new(),
    };
    let lines = [
        line("asked", |s| s.asked),
        line("served in the aim", |s| s.served_in_aim),
        line("served late", |s| s.served_late),
        line("refused", |s| s.refused),
        line("failed", |s| s.failed),
    ];
    plot(&format!("one run, {arm}: tries a second"), "seconds", &lines, true)
}

/// Renders all plots of these rows.
///
/// # Errors
/// Returns the plotting library's error.
pub fn plots(rows: &[Row]) -> Result<Plots, PlotError> {
    let table = Table::new(rows);
    let mut all = Plots::new();
    if let Some(swept) = table.swept {
        for (figure, what, _) in FIGURES.iter().filter(|f| PLOTTED.contains(&f.0)) {
            let line = |(n, arm): (usize, &&str)| {
                let along = table.along(n, figure);
                Line {
                    name: (*arm).into(),
                    points: along.iter().map(|(x, e)| (*x, e.mean)).collect(),
                    bars: along.iter().map(|(x, e)| (*x, e.low, e.high)).collect(),
                }
            };
            let lines: Vec<Line> = table.arms.iter().enumerate().map(line).collect();
            all.push((
                format!("{figure}-by-{swept}"),
                plot(&format!("{figure}: {what}"), swept, &lines, false)?,
            ));
        }
    }
    let distribution = |(n, arm): (usize, &&str)| {
        let mut by: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
        for row in table.cells.iter().filter(|((a, _), _)| *a == n).flat_map(|(_, rows)| rows) {
            row.latency_ms.iter().for_each(|(q, ms)| by.entry((q * 1e6) as u64).or_default().push(*ms));
        }
        let mean = |v: &Vec<f64>| v.iter().sum::<f64>() / v.len().max(1) as f64;
        let points = by.iter().map(|(q, ms)| (mean(ms), *q as f64 / 1e6)).collect();
        Line { name: (*arm).into(), points, bars: Vec::new() }
    };
    let lines: Vec<Line> = table.arms.iter().enumerate().map(distribution).collect();
    let title = "time from first try to answer: the part answered by then";
    all.push(("latency".into(), plot(title, "ms", &lines, true)?));
    let mut shown = BTreeSet::new();
    for row in rows.iter().filter(|r| !r.seconds.is_empty()) {
        if shown.insert(&row.arm) {
            let name = format!("timeline-{}", shown.len());
            let point: String = row.point.iter().map(|(k, v)| format!(", {k} {v}")).collect();
            all.push((name, timeline(&format!("{}{point}, seed {}", row.arm, row.seed), &row.seconds)?));
        }
    }
    Ok(all)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Renders the HTML page: a table of all cells, paired differences to the first arm, and the plots.
pub fn page(rows: &[Row], plots: &Plots) -> String {
    let table = Table::new(rows);
    let name = rows.first().map_or("", |r| r.experiment.as_str());
    let mut html = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><style>body{font:14px sans-serif;max-width:60em;margin:2em auto}\
         table{border-collapse:collapse}td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}\
         .worse{color:#b00}</style>",
    );
    let _ = write!(html, "<title>{0}</title><h1>{0}</h1>", escape(name));
    let broken: Vec<&Row> = rows.iter().filter(|r| r.broken.is_some()).collect();
    let _ = write!(html, "<p>{} runs; {} broke a rule.</p>", rows.len(), broken.len());
    for row in broken.iter().take(20) {
        let what = row.broken.as_deref().unwrap_or_default();
        let _ = write!(html, "<p class=worse>{} seed {}: {}</p>", escape(&row.arm), row.seed, escape(what));
    }
    html.push_str("<h2>Figures</h2><p>Means, and in brackets the interval that 95% of redrawn means lie in.</p><table><tr><th>arm<th>point<th>runs");
    FIGURES.iter().for_each(|(figure, what, _)| {
        let _ = write!(html, "<th title=\"{}\">{figure}", escape(what));
    });
    for ((arm, point), rows) in &table.cells {
        let _ = write!(
            html,
            "<tr><td>{}<td>{}<td>{}",
            escape(table.arms[*arm]),
            escape(&point.join(", ")),
            rows.len()
        );
        for (figure, ..) in FIGURES {
            let values: Vec<f64> = rows.iter().filter_map(|r| r.figures.get(figure).copied()).collect();
            let e = estimate(&values);
            let _ = write!(
                html,
                "<td>{} [{}, {}]",
                format_significant(e.mean),
                format_significant(e.low),
                format_significant(e.high)
            );
        }
    }
    html.push_str("</table>");
    for (n, arm) in table.arms.iter().enumerate().skip(1) {
        let of = |n: usize| {
            let cells = table.cells.iter().filter(move |((a, _), _)| *a == n);
            cells.flat_map(|(_, rows)| rows.iter().copied()).collect::<Vec<&Row>>()
        };
        let Ok(differences) = crate::compare::compare(&of(0), &of(n), 0.0) else { continue };
        let _ = write!(html, "<h2>{} less {}, paired</h2><table>", escape(arm), escape(table.arms[0]));
        for d in differences {
            let class = if d.worse { " class=worse" } else { "" };
            let _ = write!(
                html,
                "<tr{class}><td>{}<td>{} to {}<td>{} [{}, {}]",
                d.figure,
                format_significant(d.first),
                format_significant(d.second),
                format_significant(d.change.mean),
                format_significant(d.change.low),
                format_significant(d.change.high)
            );
        }
        html.push_str("</table>");
    }
    html.push_str("<h2>Plots</h2>");
    plots.iter().for_each(|(_, svg)| html.push_str(svg));
    html.push_str("</html>\n");
    html
}

/// Formats a value with four significant digits.
fn format_significant(v: f64) -> String {
    let digits = (3 - v.abs().max(1e-12).log10().floor() as i32).clamp(0, 5) as usize;
    format!("{v:.digits$}")
}

#[cfg(test)]
mod tests;
