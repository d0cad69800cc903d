//! Formatting of numbers, texts and colours in the report.

use plotters::style::RGBColor;

use crate::bootstrap::Interval;

/// The colours of variants, reused cyclically if there are more variants.
const COLOURS: [RGBColor; 8] = [
    RGBColor(0x1b, 0x4f, 0x9c),
    RGBColor(0xc4, 0x4e, 0x14),
    RGBColor(0x2d, 0x7d, 0x32),
    RGBColor(0x8e, 0x24, 0x8a),
    RGBColor(0x00, 0x83, 0x8f),
    RGBColor(0xb0, 0x89, 0x00),
    RGBColor(0x6d, 0x4c, 0x41),
    RGBColor(0x60, 0x60, 0x60),
];

/// The colour of a variant by its position.
pub(super) fn colour(variant: usize) -> RGBColor {
    COLOURS[variant % COLOURS.len()]
}

/// Escapes the characters that are special in HTML.
pub(super) fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Formats a number with at least three significant digits; below 1, with three decimal places.
pub(super) fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}

/// The bounds of an interval in brackets, as HTML; empty without an interval.
pub(super) fn bounds(interval: Option<Interval>) -> String {
    interval.map_or(String::new(), |interval| {
        format!(" <small>[{}, {}]</small>", number(interval.low), number(interval.high))
    })
}
