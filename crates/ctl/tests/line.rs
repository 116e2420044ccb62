//! Parsing of the command line, exit codes and keys.

use std::collections::BTreeMap;

use ctl::args::{CtlArgs, CtlCommand, parse};
use ctl::edit::{assignment, removal};
use ctl::error::{CtlError, ExitKind, refusal_exit};
use ctl::key::{hash_key, operator_key};
use ctl::print::utc_text;
use fault::FaultKind;
use googletest::prelude::*;

fn parsed(line: &str) -> CtlArgs {
    let texts: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    parse(&texts).expect("the line parses")
}

#[gtest]
fn global_options_are_accepted_anywhere() {
    let lines = [
        "--json --control 127.0.0.1:1 --timeout 3 get load_bound",
        "get load_bound --control=127.0.0.1:1 --json --timeout=3",
        "get --json load_bound --timeout 3 --control 127.0.0.1:1",
    ];
    for line in lines {
        let args = parsed(line);

        expect_that!(args.json, eq(true), "{line}");
        expect_that!(args.timeout, eq(3), "{line}");
        expect_that!(args.control, len(eq(1)), "{line}");
        let path = match args.command {
            CtlCommand::Get(command) => command.path,
            _ => String::new(),
        };
        expect_that!(path, eq("load_bound"), "{line}");
    }
}

#[gtest]
fn wrong_lines_are_refused() {
    for line in [
        "",
        "sett x=1",
        "get a b",
        "diff",
        "rollback x",
        "get --control here",
    ] {
        let texts: Vec<String> = line.split_whitespace().map(str::to_owned).collect();

        let exit = parse(&texts).expect_err("it is wrong");

        expect_that!(exit.status, err(anything()), "{line}");
    }
}

#[gtest]
fn help_lists_the_exit_codes() {
    let exit = parse(&["--help".to_owned()]).expect_err("help ends the program");

    expect_that!(exit.status, ok(anything()));
    insta::assert_snapshot!(exit.output);
}

#[gtest]
fn values_are_toml_or_text() {
    let cases = [
        ("a.b=1.5", "a.b", "1.5"),
        ("a=true", "a", "true"),
        ("a=[\"x\", \"y\"]", "a", "[\"x\", \"y\"]"),
        ("a=step-out", "a", "\"step-out\""),
        ("a=\"1\"", "a", "\"1\""),
        ("a=x\nb = 1", "a", "\"\"\"\nx\nb = 1\"\"\""),
        ("a.\"b.c\".d=1", "a.\"b.c\".d", "1"),
        ("a=b=c", "a", "\"b=c\""),
    ];
    for (text, path, value) in cases {
        let edit = assignment(text).expect("an assignment");

        expect_that!(edit.path, eq(path), "{text}");
        expect_that!(edit.value.as_deref(), some(eq(value)), "{text}");
    }
}

#[gtest]
fn assignments_without_path_or_value_are_refused() {
    for text in ["a", "=1", "a..b=1", "a.=1"] {
        expect_that!(assignment(text), err(pat!(CtlError::Usage(_))), "{text}");
    }
    expect_that!(removal(""), err(pat!(CtlError::Usage(_))));
}

#[gtest]
fn every_kind_has_an_exit_code() {
    let mut table: BTreeMap<u8, Vec<String>> = BTreeMap::new();
    for kind in FaultKind::ALL {
        let exit = refusal_exit(Some(kind));
        expect_that!(exit, not(eq(ExitKind::Done)), "{kind}");
        table.entry(exit as u8).or_default().push(kind.to_string());
    }
    let lines: Vec<String> = table
        .iter()
        .map(|(code, kinds)| format!("{code}: {}", kinds.join(", ")))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[gtest]
fn key_comes_from_the_file_before_the_environment() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("key");
    std::fs::write(&file, "from-file\n").expect("writes");
    let variable = Some("from-variable".to_owned());

    let from_file = operator_key(Some(&file), variable.clone()).expect("reads");
    let from_variable = operator_key(None, variable).expect("reads");
    let missing = operator_key(Some(&folder.path().join("none")), None);

    expect_that!(from_file, some(eq("from-file")));
    expect_that!(from_variable, some(eq("from-variable")));
    expect_that!(missing, err(pat!(CtlError::Usage(_))));
}

#[gtest]
fn hash_is_the_one_that_the_settings_store() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("key");
    std::fs::write(&file, "parish\n").expect("writes");
    let CtlCommand::HashKey(command) = parsed("hash-key").command else {
        panic!("another command");
    };
    let mut out = Vec::new();

    hash_key(&command, Some(&file), false, &mut out).expect("hashes");

    let expected = format!("{}\n", settings::fleet::hash_key("parish"));
    expect_that!(String::from_utf8(out), ok(eq(&expected)));
}

#[gtest]
fn times_are_shown_in_utc() {
    let cases = [
        (0, "1970-01-01T00:00:00Z"),
        (951_782_399_000, "2000-02-28T23:59:59Z"),
        (951_782_400_000, "2000-02-29T00:00:00Z"),
        (1_700_000_000_000, "2023-11-14T22:13:20Z"),
    ];
    for (time_ms, text) in cases {
        expect_that!(utc_text(time_ms), eq(text));
    }
}
