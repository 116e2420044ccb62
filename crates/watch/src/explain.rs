//! Human-readable descriptions of decision records.

use std::fmt::Write;

use crate::metric::class_label;
use crate::millis::to_millis;
use crate::record::{
    AgentDecision, AttemptRecord, AttemptResult, CandidateRecord, DecisionPart, DecisionRecord,
    EntryDecision, NoticeRecord, request_to_text,
};
use crate::ring::RingEvent;

/// Describes how one request was routed and executed, from the records of entries and agents.
pub fn explain(records: &[DecisionRecord]) -> String {
    let mut text = String::new();
    let Some(first) = records.first() else {
        text.push_str("no record of this request; it was sampled out or has left the rings\n");
        return text;
    };
    let mut ordered: Vec<&DecisionRecord> = records.iter().collect();
    ordered.sort_by_key(|record| sort_key(record));
    push_line(&mut text, 0, &format_headline(first));
    for record in ordered {
        match &record.part {
            DecisionPart::Entry(decision) => explain_entry(&mut text, record, decision),
            DecisionPart::Agent(decision) => explain_agent(&mut text, record, decision),
        }
    }
    text
}

/// Describes an event in one line.
pub fn summarize(event: &RingEvent) -> String {
    match event {
        RingEvent::Decision(record) => summarize_decision(record),
        RingEvent::Notice(notice) => summarize_notice(notice),
    }
}

fn summarize_decision(record: &DecisionRecord) -> String {
    let endpoint = record.endpoint().unwrap_or("no endpoint");
    format!(
        "{} {} {} {} -> {}: {}, {:.1} ms",
        request_to_text(record.request),
        record.instance,
        or_unknown(&record.account),
        or_unknown(&record.service),
        endpoint,
        format_end(record),
        to_millis(record.total),
    )
}

fn summarize_notice(notice: &NoticeRecord) -> String {
    format!(
        "{} {} {}: {}",
        notice.kind, notice.instance, notice.subject, notice.text
    )
}

/// Sort key that puts the entry first, then the agents in order of the attempts.
fn sort_key(record: &DecisionRecord) -> u64 {
    match &record.part {
        DecisionPart::Entry(_) => 0,
        DecisionPart::Agent(decision) => u64::from(decision.attempt),
    }
}

fn format_headline(record: &DecisionRecord) -> String {
    let model = record.model.as_deref().unwrap_or("none");
    format!(
        "request {}: account {}, service {}, model {model}, class {}",
        request_to_text(record.request),
        or_unknown(&record.account),
        or_unknown(&record.service),
        class_label(record.class),
    )
}

fn explain_entry(text: &mut String, record: &DecisionRecord, decision: &EntryDecision) {
    let instance = &record.instance;
    let mean = decision.mean_load;
    push_line(
        text,
        1,
        &format!("entry {instance} saw a mean load of {mean:.2}"),
    );
    for candidate in &decision.candidates {
        push_line(text, 2, &format_candidate(candidate));
    }
    if decision.omitted > 0 {
        push_line(
            text,
            2,
            &format!("and {} more candidates", decision.omitted),
        );
    }
    match &decision.choice {
        Some(endpoint) => push_line(text, 1, &format_choice(endpoint, decision.hops)),
        None => push_line(text, 1, "found no endpoint"),
    }
    for attempt in &decision.attempts {
        push_line(text, 2, &format_attempt(attempt));
    }
    let first = to_millis(decision.first_token);
    let total = to_millis(record.total);
    let end = format_end(record);
    push_line(
        text,
        1,
        &format!("ended: {end}; first token {first:.1} ms, total {total:.1} ms"),
    );
}

fn explain_agent(text: &mut String, record: &DecisionRecord, decision: &AgentDecision) {
    let head = format!(
        "agent {} of {}, attempt {}: load {} of at most {}",
        record.instance,
        decision.endpoint,
        decision.attempt,
        decision.load.total(),
        decision.load_limit,
    );
    push_line(text, 1, &head);
    let wait = to_millis(decision.queue_wait);
    let tail = format!(
        "waited {wait:.1} ms, {} prompt tokens cached, ended: {}",
        decision.cached_tokens,
        format_end(record),
    );
    push_line(text, 2, &tail);
}

fn format_choice(endpoint: &str, hops: u8) -> String {
    match hops {
        0 => format!("chose {endpoint}"),
        1 => format!("chose {endpoint} after 1 refusal"),
        count => format!("chose {endpoint} after {count} refusals"),
    }
}

fn format_candidate(candidate: &CandidateRecord) -> String {
    let verdict = candidate
        .excluded
        .map_or("chosen".to_owned(), |kind| kind.to_string());
    format!(
        "{} in {}: load {}, {} warm tokens: {verdict}",
        candidate.endpoint, candidate.domain, candidate.load, candidate.warm_tokens
    )
}

fn format_attempt(attempt: &AttemptRecord) -> String {
    let result = match attempt.result {
        AttemptResult::Answered => "answered".to_owned(),
        AttemptResult::Refused(kind) => format!("refused, {kind}"),
        AttemptResult::Failed(kind) => format!("failed, {kind}"),
        AttemptResult::Cancelled => "cancelled".to_owned(),
    };
    format!(
        "attempt {} at {}: {result}",
        attempt.attempt, attempt.endpoint
    )
}

fn format_end(record: &DecisionRecord) -> String {
    match record.fault {
        Some(kind) => format!("{}, {kind}", record.outcome),
        None => record.outcome.to_string(),
    }
}

fn or_unknown(name: &str) -> &str {
    if name.is_empty() { "unknown" } else { name }
}

fn push_line(text: &mut String, depth: usize, content: &str) {
    // Writing to a `String` is infallible.
    let _ = writeln!(text, "{:width$}{content}", "", width = depth * 2);
}
