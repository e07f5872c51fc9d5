//! Numbers with units in text.

/// Parses a duration and returns seconds: '250ms', '1.5s', '2m', '1h', '40us'.
pub fn parse_seconds(text: &str) -> Option<f64> {
    let text = text.trim();
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic())?;
    let number: f64 = text[..unit_start].trim().parse().ok()?;
    let unit = match text[unit_start..].trim() {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" | "min" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    let seconds = number * unit;
    (seconds.is_finite() && seconds >= 0.0).then_some(seconds)
}

/// Parses a size and returns bytes: '48MiB', '64KiB', '512'.
pub fn parse_bytes(text: &str) -> Option<u64> {
    let text = text.trim();
    let unit_start = text
        .find(|c: char| c.is_ascii_alphabetic())
        .unwrap_or(text.len());
    let number: f64 = text[..unit_start].trim().parse().ok()?;
    let unit = match text[unit_start..].trim() {
        "" | "B" => 1.0,
        "KiB" => 1024.0,
        "MiB" => 1048576.0,
        "GiB" => 1073741824.0,
        _ => return None,
    };
    let bytes = number * unit;
    (bytes.is_finite() && (0.0..1e15).contains(&bytes)).then_some(bytes as u64)
}
