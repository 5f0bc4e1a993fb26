//! Line plots in SVG.

use super::Findings;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 540);
const MARGIN: u32 = 16;
const LABEL_AREA: u32 = 64;
const FONT: (&str, u32) = ("sans-serif", 18);

/// Draws all series of an experiment into an SVG file.
pub fn draw(findings: &Findings, path: &Path) -> Result<(), crate::Failure> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    draw_on(&root, findings).map_err(|error| error.to_string())?;
    root.present().map_err(|error| error.to_string())
}

fn draw_on(
    root: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    findings: &Findings,
) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let points = || findings.series.iter().flat_map(|series| &series.points);
    let max_x = points().map(|point| point.0).fold(1e-9, f64::max);
    let max_y = points().map(|point| point.1).fold(1e-9, f64::max);
    let mut chart = ChartBuilder::on(root)
        .caption(&findings.name, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..max_x * 1.02, 0.0..max_y * 1.08)?;
    chart
        .configure_mesh()
        .x_desc(&findings.x_label)
        .y_desc(&findings.y_label)
        .label_style(FONT)
        .axis_desc_style(FONT)
        .draw()?;
    for (number, series) in findings.series.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let line = LineSeries::new(series.points.iter().copied(), colour.stroke_width(2));
        chart.draw_series(line)?.label(&series.name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 20, y)], colour.stroke_width(2))
        });
        let dots = series.points.iter().map(|point| Circle::new(*point, 3, colour.filled()));
        chart.draw_series(dots)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .label_font(FONT)
        .draw()?;
    Ok(())
}
