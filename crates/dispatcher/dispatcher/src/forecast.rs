//! Forecast of the loss of sites, as a table and as an HTML page with a chart.

use sagetrail_failover::LossForecast;
use std::fmt::Write;

/// The sites that take over load, with the slots for it.
fn moved(loss: &LossForecast) -> String {
    let all = loss
        .moved_slots
        .iter()
        .map(|(name, slots)| format!("{name} +{slots:.1}"));
    all.collect::<Vec<_>>().join(", ")
}

/// The categories of which work items are rejected, with the share.
fn refused(loss: &LossForecast) -> String {
    let rejected = loss
        .admitted_fractions
        .iter()
        .filter(|(_, fraction)| *fraction < 0.9995);
    let all: Vec<String> = rejected
        .map(|(name, fraction)| format!("{name} {:.0}%", 100.0 * (1.0 - fraction)))
        .collect();
    if all.is_empty() {
        "nothing".to_string()
    } else {
        all.join(", ")
    }
}

/// The forecast as a table in plain text.
pub(crate) fn table(losses: &[LossForecast]) -> String {
    let mut out = format!(
        "{:<16} {:>6} {:>8}  {:<34} {:<34} {:>8}\n",
        "lost", "load", "of rest", "goes to, slots", "refused", "back"
    );
    for loss in losses {
        let _ = writeln!(
            out,
            "{:<16} {:>5.0}% {:>7.0}%  {:<34} {:<34} {:>6.0} s",
            loss.lost.join("+"),
            100.0 * loss.load,
            100.0 * loss.demand_ratio,
            moved(loss),
            refused(loss),
            loss.failback_s
        );
    }
    out
}

/// The forecast as an HTML page. A bar shows the demand on the remaining sites by loss and load; the part beyond the
/// line is rejected.
pub(crate) fn page(losses: &[LossForecast]) -> String {
    let escape = |text: &str| text.replace('&', "&amp;").replace('<', "&lt;");
    let max_ratio = losses
        .iter()
        .map(|loss| loss.demand_ratio)
        .filter(|fraction| fraction.is_finite())
        .fold(1.2, f64::max);
    let (row, left, width) = (22.0, 170.0, 700.0);
    let height = row * losses.len() as f64 + 30.0;
    let mut svg = format!("<svg viewBox='0 0 900 {height}' role='img'>");
    for (n, loss) in losses.iter().enumerate() {
        let y = row * n as f64 + 8.0;
        let bar_width = width * (loss.demand_ratio.min(max_ratio) / max_ratio);
        let served_width = bar_width.min(width / max_ratio);
        let _ = write!(
            svg,
            "<text x='4' y='{:.0}'>{} at {:.0}%</text><rect x='{left}' y='{y}' width='{served_width:.1}' height='14' fill='#5b8c3e'/>\
             <rect x='{:.1}' y='{y}' width='{:.1}' height='14' fill='#c0504d'><title>refused: {}</title></rect>",
            y + 11.0,
            escape(&loss.lost.join("+")),
            100.0 * loss.load,
            left + served_width,
            bar_width - served_width,
            escape(&refused(loss))
        );
    }
    let line = left + width / max_ratio;
    let _ = write!(
        svg,
        "<line x1='{line:.1}' x2='{line:.1}' y1='0' y2='{height}' stroke='#333'/></svg>"
    );
    format!(
        "<!doctype html><meta charset='utf-8'><title>what if</title><style>body{{font:15px sans-serif;max-width:960px;\
         margin:2em auto}}svg{{width:100%;font:12px sans-serif}}pre{{overflow:auto}}</style><h1>What if a site is lost</h1>\
         <p>What is asked of what remains, by lost sites and load of the busy hour; the line is what it bears.</p>{svg}\
         <pre>{}</pre>",
        escape(&table(losses))
    )
}
