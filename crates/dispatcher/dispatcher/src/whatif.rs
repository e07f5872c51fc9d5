//! What the loss of sites would come to, as a table and as a page with a chart.

use sagetrail_failover::LossForecast;
use std::fmt::Write;

fn moved(loss: &LossForecast) -> String {
    let all = loss
        .moved_slots
        .iter()
        .map(|(name, slots)| format!("{name} +{slots:.1}"));
    all.collect::<Vec<_>>().join(", ")
}

fn refused(loss: &LossForecast) -> String {
    let some = loss
        .admitted_fractions
        .iter()
        .filter(|(_, part)| *part < 0.9995);
    let all: Vec<String> = some
        .map(|(name, part)| format!("{name} {:.0}%", 100.0 * (1.0 - part)))
        .collect();
    if all.is_empty() {
        "nothing".to_string()
    } else {
        all.join(", ")
    }
}

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

/// Bars: what remains is asked for, by loss and load; over the line is refused.
pub(crate) fn page(losses: &[LossForecast]) -> String {
    let escape = |text: &str| text.replace('&', "&amp;").replace('<', "&lt;");
    let most = losses
        .iter()
        .map(|loss| loss.demand_ratio)
        .filter(|part| part.is_finite())
        .fold(1.2, f64::max);
    let (row, left, width) = (22.0, 170.0, 700.0);
    let height = row * losses.len() as f64 + 30.0;
    let mut svg = format!("<svg viewBox='0 0 900 {height}' role='img'>");
    for (n, loss) in losses.iter().enumerate() {
        let y = row * n as f64 + 8.0;
        let long = width * (loss.demand_ratio.min(most) / most);
        let fits = long.min(width / most);
        let _ = write!(
            svg,
            "<text x='4' y='{:.0}'>{} at {:.0}%</text><rect x='{left}' y='{y}' width='{fits:.1}' height='14' fill='#5b8c3e'/>\
             <rect x='{:.1}' y='{y}' width='{:.1}' height='14' fill='#c0504d'><title>refused: {}</title></rect>",
            y + 11.0,
            escape(&loss.lost.join("+")),
            100.0 * loss.load,
            left + fits,
            long - fits,
            escape(&refused(loss))
        );
    }
    let line = left + width / most;
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
