//! Draws the detection time over the rate of false ejections.

use std::error::Error;

use plotters::prelude::*;

use crate::{DetectorSetup, ResultRow};

/// Size of the figure in pixels.
const SIZE: (u32, u32) = (1_100, 480);
/// Faults that have a chart each.
const CHART_FAULTS: [&str; 2] = ["hang", "slow 5x"];
/// Position of a rate of zero on the logarithmic axis, in false ejections per
/// server-month.
const ZERO_RATE_X: f64 = 0.05;

/// Draws the rows of the pool with six servers at 10 requests per second to each
/// server.
pub(crate) fn draw(rows: &[ResultRow], path: &str) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((1, CHART_FAULTS.len()));
    for (area, fault) in areas.iter().zip(CHART_FAULTS) {
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!("{fault}, 10 requests/s a server"),
                ("sans-serif", 18),
            )
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(50)
            .build_cartesian_2d((0.03..1e6_f64).log_scale(), (0.1..30.0_f64).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("false ejections per server-month")
            .y_desc("median detection, s")
            .draw()?;
        for (family, colour) in [
            ("sequential", BLUE),
            ("consecutive errors", RED),
            ("10 s window", BLACK),
        ] {
            let points = points(rows, family, fault);
            let style = colour.filled();
            let dots = points
                .into_iter()
                .map(move |point| Circle::new(point, 5, style));
            chart
                .draw_series(dots)?
                .label(family)
                .legend(move |(x, y)| Circle::new((x + 8, y), 5, colour.filled()));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
    }
    root.present()?;
    Ok(())
}

/// Returns the points of one family of detectors for one fault. A fault that is
/// detected in less than half of the runs has no median and thus no point.
fn points(rows: &[ResultRow], family: &str, fault: &str) -> Vec<(f64, f64)> {
    let chosen = rows.iter().filter(|row| {
        row.pool == "hangsor" && row.rate == 10.0 && DetectorSetup::family(row.setup) == family
    });
    let point = |row: &ResultRow| {
        let detection = row
            .detections
            .iter()
            .find(|detection| detection.fault == fault)?;
        let median = detection.median_s;
        median
            .is_finite()
            .then(|| (row.false_per_month.max(ZERO_RATE_X), median))
    };
    chosen.filter_map(point).collect()
}
