//! Metrics: the Prometheus text format, naming conventions, and the limit on label values.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use fault::{FaultKind, RunOutcome};
use googletest::prelude::*;
use link::{FrameDirection, LinkCounters, MessageKind};
use watch::control::ReplicaSample;
use watch::entry::AnswerSample;
use watch::label::{LabelLimiter, LabelSettings};
use watch::usage::{parse_processor_time, parse_resident_bytes};
use watch::{AgentMetrics, ControlMetrics, EntryMetrics, InstanceRole, ProcessMetrics};
use wire::answer::{EndpointLoad, PriorityClass};

use exposition::{FamilyText, parse};

mod exposition;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn sample<'a>(account: &'a str, model: Option<&'a str>) -> AnswerSample<'a> {
    AnswerSample {
        account,
        service: "redaction",
        model,
        class: PriorityClass::Urgent,
        outcome: RunOutcome::Ran,
        fault: None,
        first_token: Some(millis(90)),
        queue_wait: Some(millis(3)),
        total: millis(700),
        prompt_tokens: 2000,
        cached_tokens: 1500,
        attempts: 2,
    }
}

fn entry_text() -> String {
    let metrics = EntryMetrics::new(LabelSettings::default()).expect("names are free");
    metrics.record(&sample("hostile \"name\\\n", Some("bulletin")));
    metrics.record(&AnswerSample {
        outcome: RunOutcome::NotRun,
        fault: Some(FaultKind::Overloaded),
        first_token: None,
        ..sample("mairie", None)
    });
    let observer = metrics.gap_observer("mairie", PriorityClass::Batch);
    observer.observe(millis(40));
    metrics.set_load_over_mean("redaction", 1.2);
    metrics.set_in_flight(3);
    metrics.process.set_settings_version(9);
    let counters = Arc::new(LinkCounters::default());
    counters.add(FrameDirection::Received, MessageKind::Quarantine, 120);
    let traffic = &metrics.process.traffic;
    traffic.add_source(Some(InstanceRole::Control), counters);
    traffic.update();
    text_of(&metrics.process)
}

fn agent_text() -> String {
    let metrics = AgentMetrics::new(LabelSettings::default()).expect("names are free");
    metrics.record_admitted("mairie");
    metrics.record_started("mairie", PriorityClass::Interactive, millis(4));
    metrics.record_refused(FaultKind::Draining);
    metrics.record_failed(FaultKind::EndpointFailed);
    metrics.record_tokens(100, 60);
    metrics.record_crash();
    let load = EndpointLoad {
        running: 2,
        queued: 1,
    };
    metrics.set_load(load, 4);
    metrics.process.set_settings_version(9);
    text_of(&metrics.process)
}

fn control_text() -> String {
    let metrics = ControlMetrics::new(LabelSettings::default()).expect("names are free");
    metrics.record_command("change-settings", millis(7));
    metrics.record_refused(FaultKind::VersionConflict);
    metrics.record_election();
    metrics.record_sync(millis(2));
    metrics.set_load_over_mean("redaction", 1.1);
    metrics.set_members(2, 9);
    metrics.set_quarantined(1);
    metrics.process.set_settings_version(9);
    metrics.set_replica(ReplicaSample {
        term: 3,
        is_leader: true,
        commit: 40,
        pending_entries: 12,
    });
    text_of(&metrics.process)
}

fn text_of(process: &ProcessMetrics) -> String {
    process.expose().expect("families fit the format")
}

fn families_of(text: &str) -> BTreeMap<String, FamilyText> {
    parse(text).unwrap_or_else(|fault| panic!("{fault}"))
}

#[gtest]
fn every_program_exposes_the_prometheus_text_format() {
    for text in [entry_text(), agent_text(), control_text()] {
        let families = families_of(&text);

        expect_that!(families.len(), ge(10));
    }
}

#[gtest]
fn the_parser_refuses_what_the_format_forbids() {
    let faulty = [
        "sapphire_x 1\n",
        "# TYPE sapphire_x gauge\nsapphire_x 1",
        "# TYPE sapphire_x gauge\nsapphire_x{a=\"b} 1\n",
        "# TYPE sapphire_x gauge\nsapphire_x one\n",
        "# TYPE sapphire_x gauge\n# TYPE sapphire_x gauge\nsapphire_x 1\n",
        "# TYPE sapphire_x gauge\nsapphire_x 1\nsapphire_x 2\n",
        "# TYPE x histogram\nx_bucket{le=\"1\"} 2\nx_bucket{le=\"+Inf\"} 1\nx_sum 1\nx_count 1\n",
        "# TYPE x histogram\nx_bucket{le=\"1\"} 1\nx_sum 1\nx_count 1\n",
    ];

    for text in faulty {
        expect_that!(parse(text).is_err(), eq(true), "{text}");
    }
}

#[gtest]
fn names_follow_the_conventions() {
    for text in [entry_text(), agent_text(), control_text()] {
        for (name, family) in families_of(&text) {
            let is_own = name.starts_with("sapphire_") || name.starts_with("process_");
            let is_counter = family.kind == "counter";
            let is_span = family.kind == "histogram";

            expect_that!(is_own, eq(true), "{name}");
            expect_that!(is_counter, eq(name.ends_with("_total")), "{name}");
            expect_that!(is_span && !name.ends_with("_seconds"), eq(false), "{name}");
            expect_that!(family.help.is_empty(), eq(false), "{name}");
        }
    }
}

#[gtest]
fn a_finished_request_is_counted_in_the_published_metrics() {
    let text = entry_text();

    for line in [
        "sapphire_entry_answers_total{account=\"mairie\",outcome=\"not-run\"} 1\n",
        "sapphire_entry_attempts_total 4\n",
        "sapphire_entry_cached_prefix_tokens_total{model=\"bulletin\",service=\"redaction\"} 1500\n",
        "sapphire_entry_faults_total{kind=\"overloaded\"} 1\n",
        "sapphire_entry_first_token_seconds_count{account=\"hostile \\\"name\\\\\\n\",class=\"urgent\"} 1\n",
        "sapphire_entry_between_tokens_seconds_bucket{account=\"mairie\",class=\"batch\",le=\"0.049\"} 1\n",
        "sapphire_link_bytes_total{direction=\"received\",kind=\"quarantine\",peer=\"control\"} 120\n",
        "sapphire_settings_version 9\n",
    ] {
        expect_that!(text, contains_substring(line));
    }
}

#[gtest]
fn names_beyond_the_limit_share_one_label() {
    let labels = LabelSettings {
        accounts: 3,
        models: 2,
        ..LabelSettings::default()
    };
    let metrics = EntryMetrics::new(labels).expect("names are free");
    for account in 0..50 {
        let name = format!("account-{account}");
        let model = format!("model-{}", account % 7);
        metrics.record(&sample(&name, Some(&model)));
    }

    let families = families_of(&text_of(&metrics.process));

    let accounts = values_of(&families["sapphire_entry_answers_total"], "account");
    let models = values_of(&families["sapphire_entry_prompt_tokens_total"], "model");
    expect_that!(
        accounts,
        unordered_elements_are![
            eq("account-0"),
            eq("account-1"),
            eq("account-2"),
            eq("other")
        ]
    );
    expect_that!(
        models,
        unordered_elements_are![eq("model-0"), eq("model-1"), eq("other")]
    );
}

#[gtest]
fn the_label_of_a_name_never_changes() {
    let limiter = LabelLimiter::new(1);

    let labels = [
        limiter.label("first"),
        limiter.label("second"),
        limiter.label("first"),
    ];

    expect_that!(labels, eq(["first", "other", "first"]));
    expect_that!(limiter.len(), eq(1));
}

#[gtest]
fn usage_is_read_from_the_proc_texts() {
    let stat = "42 (a (strange) name) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0";
    let status = "Name:\tx\nVmRSS:\t    2048 kB\nThreads:\t3\n";

    expect_that!(parse_processor_time(stat), some(eq(millis(3000))));
    expect_that!(parse_resident_bytes(status), some(eq(2_097_152)));
    expect_that!(parse_resident_bytes("Name:\tx\n"), none());
}

fn values_of(family: &FamilyText, label: &str) -> HashSet<String> {
    let labels = family.samples.iter().flat_map(|sample| &sample.labels);
    labels
        .filter(|(name, _)| name == label)
        .map(|(_, value)| value.clone())
        .collect()
}
