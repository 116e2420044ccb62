//! The HTML status page: a single document with inline SVG, without scripts.
//!
//! Every text that an operator or a caller controls is escaped by [`escape`].

use std::fmt::Write;
use std::time::Duration;

use crate::explain::summarize;
use crate::millis::to_millis;
use crate::record::DecisionRecord;
use crate::ring::RingEvent;
use crate::status::{EndpointStatus, FleetStatus, InstanceStatus, ServiceStatus};

/// Content type of the page.
pub const PAGE_CONTENT_TYPE: &str = "text/html; charset=utf-8";
/// Content security policy of the page: nothing is loaded or executed.
pub const PAGE_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'";

/// Largest number of endpoints drawn per service; the busiest come first.
const MAX_BARS: usize = 64;
/// Largest number of rows in a table.
const MAX_ROWS: usize = 200;
/// Width in pixels of the bar of an endpoint whose load equals the mean.
const MEAN_WIDTH: f64 = 160.0;
/// Largest ratio of load to mean that is drawn to scale; larger ones are cut off.
const MAX_RATIO: f64 = 3.0;
/// Height in pixels of a chart row.
const ROW_HEIGHT: usize = 18;
/// Width in pixels of the column with the endpoint names.
const NAME_WIDTH: f64 = 200.0;
/// Interval in seconds at which the browser reloads the page.
const RELOAD_SECONDS: u32 = 5;

const STYLE: &str = "body{font:14px sans-serif;margin:1.5em;max-width:70em}\
table{border-collapse:collapse}td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ddd}\
.late{color:#b00}code{font-size:12px}";

/// Renders the status page.
pub fn render(status: &FleetStatus) -> String {
    let mut page = String::new();
    push_head(&mut page, status);
    push_instances(&mut page, status);
    push_services(&mut page, status);
    push_decisions(&mut page, &status.decisions);
    page.push_str("</body></html>\n");
    page
}

/// Escapes text for use in HTML text and attributes, and replaces control characters.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            control if control.is_control() => escaped.push('\u{fffd}'),
            other => escaped.push(other),
        }
    }
    escaped
}

fn push_head(page: &mut String, status: &FleetStatus) {
    let title = escape(&format!("{} {}", status.role, status.instance));
    push_line(
        page,
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">",
    );
    let reload = format!("<meta http-equiv=\"refresh\" content=\"{RELOAD_SECONDS}\">");
    push_line(page, &reload);
    push_line(
        page,
        &format!("<title>{title}</title><style>{STYLE}</style></head><body>"),
    );
    push_line(page, &format!("<h1>{title}</h1>"));
    let leader = match &status.leader {
        Some(name) => format!("{} leads term {}", escape(name), status.term),
        None => "no leader is known".to_owned(),
    };
    let version = status.settings;
    push_line(
        page,
        &format!("<p>Control: {leader}. Settings version {version} in force here.</p>"),
    );
}

fn push_instances(page: &mut String, status: &FleetStatus) {
    push_line(
        page,
        "<h2>Instances</h2><table><tr><th>name<th>role<th>failure domain",
    );
    push_line(page, "<th>settings version<th>last heard</tr>");
    for instance in status.instances.iter().take(MAX_ROWS) {
        push_line(page, &instance_row(instance, status.settings));
    }
    push_line(page, "</table>");
    push_remainder(page, status.instances.len(), MAX_ROWS, "instances");
}

fn instance_row(instance: &InstanceStatus, newest: u64) -> String {
    let late = if instance.settings < newest {
        " class=\"late\""
    } else {
        ""
    };
    format!(
        "<tr><td>{}<td>{}<td>{}<td{late}>{}<td>{}</tr>",
        escape(&instance.name),
        instance.role,
        escape(&instance.domain),
        instance.settings,
        format_age(instance.silence),
    )
}

fn push_services(page: &mut String, status: &FleetStatus) {
    for service in &status.services {
        let mut endpoints: Vec<&EndpointStatus> = status
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.service == service.name)
            .collect();
        endpoints.sort_by(|left, right| {
            let busier = right.load_over_mean.total_cmp(&left.load_over_mean);
            busier.then_with(|| left.name.cmp(&right.name))
        });
        push_service(page, service, &endpoints);
    }
}

fn push_service(page: &mut String, service: &ServiceStatus, endpoints: &[&EndpointStatus]) {
    let warm = match service.warm_share() {
        Some(share) => format!("{:.0} % of the prompt tokens found warm", share * 100.0),
        None => "no prompts yet".to_owned(),
    };
    let name = escape(&service.name);
    push_line(page, &format!("<h2>Service {name}</h2>"));
    let mean = service.mean_load;
    let bound = service.load_bound;
    push_line(
        page,
        &format!("<p>Mean load {mean:.2}, bound {bound:.2} times the mean, {warm}.</p>"),
    );
    push_line(page, &chart(endpoints, bound));
    push_remainder(page, endpoints.len(), MAX_BARS, "endpoints");
}

/// Renders a bar chart of the endpoints' loads, with markers at the mean and at the load bound.
fn chart(endpoints: &[&EndpointStatus], bound: f64) -> String {
    let rows = endpoints.len().min(MAX_BARS);
    let height = (rows + 1) * ROW_HEIGHT;
    let width = NAME_WIDTH + MAX_RATIO * MEAN_WIDTH + NAME_WIDTH;
    let mut svg = format!("<svg width=\"{width}\" height=\"{height}\" font-size=\"12\">");
    for (row, endpoint) in endpoints.iter().take(MAX_BARS).enumerate() {
        svg.push_str(&bar(row, endpoint, bound));
    }
    svg.push_str(&marker(1.0, "mean", "#555", height));
    svg.push_str(&marker(bound, "bound", "#b00", height));
    svg.push_str("</svg>");
    svg
}

fn bar(row: usize, endpoint: &EndpointStatus, bound: f64) -> String {
    let y = row * ROW_HEIGHT;
    let text_y = y + ROW_HEIGHT - 5;
    let ratio = endpoint.load_over_mean;
    let length = clamp_ratio(ratio) * MEAN_WIDTH;
    let colour = if ratio > bound { "#b00" } else { "#48c" };
    let label = format!(
        "{:.2} ({} running, {} waiting) {:?} in {}",
        ratio, endpoint.load.running, endpoint.load.queued, endpoint.state, endpoint.domain
    );
    format!(
        "<text x=\"0\" y=\"{text_y}\">{}</text>\
         <rect x=\"{NAME_WIDTH}\" y=\"{y}\" width=\"{length:.1}\" height=\"{}\" fill=\"{colour}\"/>\
         <text x=\"{:.1}\" y=\"{text_y}\">{}</text>\n",
        escape(&endpoint.name),
        ROW_HEIGHT - 4,
        NAME_WIDTH + length + 4.0,
        escape(&label),
    )
}

fn marker(ratio: f64, name: &str, colour: &str, height: usize) -> String {
    let x = NAME_WIDTH + clamp_ratio(ratio) * MEAN_WIDTH;
    format!(
        "<line x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"0\" y2=\"{height}\" stroke=\"{colour}\"/>\
         <text x=\"{x:.1}\" y=\"{}\" fill=\"{colour}\">{name}</text>\n",
        height - 4,
    )
}

fn clamp_ratio(ratio: f64) -> f64 {
    if ratio.is_finite() {
        ratio.clamp(0.0, MAX_RATIO)
    } else {
        0.0
    }
}

fn push_decisions(page: &mut String, decisions: &[DecisionRecord]) {
    push_line(page, "<h2>Last decisions</h2><table>");
    for record in decisions.iter().take(MAX_ROWS) {
        let event = RingEvent::Decision(Box::new(record.clone()));
        let line = escape(&summarize(&event));
        push_line(page, &format!("<tr><td><code>{line}</code></tr>"));
    }
    push_line(page, "</table>");
}

fn push_remainder(page: &mut String, count: usize, shown: usize, noun: &str) {
    if count > shown {
        push_line(page, &format!("<p>and {} more {noun}</p>", count - shown));
    }
}

fn format_age(duration: Duration) -> String {
    format!("{:.1} s ago", to_millis(duration) / 1000.0)
}

fn push_line(page: &mut String, content: &str) {
    // Writing to a `String` is infallible.
    let _ = writeln!(page, "{content}");
}
