//! A strict parser for the Prometheus text format, version 0.0.4.

use std::collections::{BTreeMap, HashSet};

/// One sample line.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SampleText {
    /// Metric name, including a suffix such as `_bucket`.
    pub(crate) name: String,
    /// Labels in order.
    pub(crate) labels: Vec<(String, String)>,
    /// Value.
    pub(crate) value: f64,
}

/// One metric family.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct FamilyText {
    /// Its type.
    pub(crate) kind: String,
    /// Its help.
    pub(crate) help: String,
    /// Its samples.
    pub(crate) samples: Vec<SampleText>,
}

type Result<T> = std::result::Result<T, String>;

/// Parses the metric families by name, or returns an error that shows the offending line.
pub(crate) fn parse(text: &str) -> Result<BTreeMap<String, FamilyText>> {
    if !text.ends_with('\n') {
        return Err("the last line is not ended".to_owned());
    }
    let mut families: BTreeMap<String, FamilyText> = BTreeMap::new();
    let mut helps: BTreeMap<String, String> = BTreeMap::new();
    let mut current = String::new();
    let mut seen = HashSet::new();
    for line in text.lines().filter(|line| !line.is_empty()) {
        if let Some(rest) = line.strip_prefix("# HELP ") {
            let (name, help) = rest.split_once(' ').ok_or(format!("no help: {line}"))?;
            helps.insert(name.to_owned(), help.to_owned());
        } else if let Some(rest) = line.strip_prefix("# TYPE ") {
            let (name, kind) = rest.split_once(' ').ok_or(format!("no type: {line}"))?;
            check_type(name, kind)?;
            let family = FamilyText {
                kind: kind.to_owned(),
                help: helps.remove(name).unwrap_or_default(),
                samples: Vec::new(),
            };
            if families.insert(name.to_owned(), family).is_some() {
                return Err(format!("family twice: {line}"));
            }
            name.clone_into(&mut current);
        } else {
            let sample = parse_sample(line)?;
            if !seen.insert(format!("{} {:?}", sample.name, sample.labels)) {
                return Err(format!("series twice: {line}"));
            }
            let family = families
                .get_mut(&current)
                .ok_or(format!("no family: {line}"))?;
            check_name(&current, &family.kind, &sample.name)?;
            family.samples.push(sample);
        }
    }
    for (name, family) in &families {
        if family.kind == "histogram" {
            check_histogram(name, family)?;
        }
    }
    Ok(families)
}

fn check_type(name: &str, kind: &str) -> Result<()> {
    let kinds = ["counter", "gauge", "histogram", "summary", "untyped"];
    if !is_metric_name(name) || !kinds.contains(&kind) {
        return Err(format!("faulty type: {name} {kind}"));
    }
    Ok(())
}

fn check_name(family: &str, kind: &str, name: &str) -> Result<()> {
    let suffix = name
        .strip_prefix(family)
        .ok_or(format!("strange name: {name}"))?;
    let is_fit = match kind {
        "histogram" => ["_bucket", "_sum", "_count"].contains(&suffix),
        _ => suffix.is_empty(),
    };
    is_fit
        .then_some(())
        .ok_or(format!("strange suffix: {name}"))
}

/// Checks for each set of other labels that buckets are cumulative, end at `+Inf` and agree with the
/// count.
fn check_histogram(name: &str, family: &FamilyText) -> Result<()> {
    let mut buckets: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    let mut counts: BTreeMap<String, f64> = BTreeMap::new();
    for sample in &family.samples {
        let rest: Vec<_> = sample
            .labels
            .iter()
            .filter(|(name, _)| name != "le")
            .collect();
        let series = format!("{rest:?}");
        if sample.name.ends_with("_bucket") {
            let bound = sample.labels.iter().find(|(name, _)| name == "le");
            let (_, bound) = bound.ok_or(format!("no bound: {name}"))?;
            let pair = (parse_value(bound)?, sample.value);
            buckets.entry(series).or_default().push(pair);
        } else if sample.name.ends_with("_count") {
            counts.insert(series, sample.value);
        }
    }
    for (series, pairs) in &buckets {
        let is_rising = pairs
            .windows(2)
            .all(|pair| pair[0].0 < pair[1].0 && pair[0].1 <= pair[1].1);
        let last = pairs.last().copied();
        let count = counts.get(series).copied();
        if !is_rising || last != count.map(|count| (f64::INFINITY, count)) {
            return Err(format!("faulty buckets: {name} {series}"));
        }
    }
    Ok(())
}

fn parse_sample(line: &str) -> Result<SampleText> {
    let end = line.find(['{', ' ']).ok_or(format!("no value: {line}"))?;
    let (name, rest) = line.split_at(end);
    if !is_metric_name(name) {
        return Err(format!("faulty name: {line}"));
    }
    let (labels, value) = match rest.strip_prefix('{') {
        Some(rest) => parse_labels(rest).ok_or(format!("faulty labels: {line}"))?,
        None => (Vec::new(), rest),
    };
    let value = value.strip_prefix(' ').ok_or(format!("no space: {line}"))?;
    Ok(SampleText {
        name: name.to_owned(),
        labels,
        value: parse_value(value)?,
    })
}

/// Parses labels up to the closing brace, and returns them with the remaining text.
fn parse_labels(text: &str) -> Option<(Vec<(String, String)>, &str)> {
    let mut labels = Vec::new();
    let mut rest = text;
    while !rest.starts_with('}') {
        let (name, tail) = rest.split_once("=\"")?;
        let (value, tail) = parse_quoted(tail)?;
        if !is_label_name(name) {
            return None;
        }
        labels.push((name.to_owned(), value));
        rest = tail.strip_prefix(',').unwrap_or(tail);
    }
    Some((labels, &rest[1..]))
}

/// Parses a value up to the closing quote, and returns it with the remaining text.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return Some((value, &text[index + 1..])),
            '\\' => match characters.next()?.1 {
                'n' => value.push('\n'),
                escaped @ ('\\' | '"') => value.push(escaped),
                _ => return None,
            },
            other => value.push(other),
        }
    }
    None
}

fn parse_value(text: &str) -> Result<f64> {
    match text {
        "+Inf" => Ok(f64::INFINITY),
        "-Inf" => Ok(f64::NEG_INFINITY),
        "NaN" => Ok(f64::NAN),
        number if number.ends_with(|end: char| end.is_ascii_digit()) => {
            number.parse().map_err(|_| format!("faulty value: {text}"))
        }
        _ => Err(format!("faulty value: {text}")),
    }
}

fn is_metric_name(name: &str) -> bool {
    let mut characters = name.chars();
    let is_start = |first: char| first.is_ascii_alphabetic() || first == '_' || first == ':';
    characters.next().is_some_and(is_start)
        && characters.all(|next| is_start(next) || next.is_ascii_digit())
}

fn is_label_name(name: &str) -> bool {
    is_metric_name(name) && !name.contains(':') && !name.starts_with("__")
}
