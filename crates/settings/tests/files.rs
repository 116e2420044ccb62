//! The configuration files of the programs, the annotated examples and the settings reference.

use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use settings::process::{self, AgentSettings, ControlSettings, EntrySettings, GatewaySettings};
use settings::{SettingsTree, page};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example(name: &str) -> String {
    let path = repository().join("examples").join(name);
    fs::read_to_string(path).expect("the example exists")
}

fn fault_lines<T>(result: settings::tree::Result<T>) -> String {
    let faults = result.err().unwrap_or_default();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[gtest]
fn settings_page_matches_the_key_tables() {
    let path = repository().join("docs/SETTINGS.md");

    let page = fs::read_to_string(path).expect("the page exists");

    expect_that!(page, eq(&page::settings_page()));
}

#[gtest]
fn examples_pass_their_checks() {
    expect_that!(
        fault_lines(process::parse::<EntrySettings>(&example("entry.toml"))),
        eq("")
    );
    expect_that!(
        fault_lines(process::parse::<AgentSettings>(&example("agent.toml"))),
        eq("")
    );
    expect_that!(
        fault_lines(process::parse::<ControlSettings>(&example("control.toml"))),
        eq("")
    );
    expect_that!(
        fault_lines(process::parse::<GatewaySettings>(&example("gateway.toml"))),
        eq("")
    );
    let tree = SettingsTree::parse(&example("tree.toml"));
    expect_that!(fault_lines(tree.and_then(|tree| tree.resolve(1))), eq(""));
}

#[gtest]
fn gateway_defaults_are_taken_and_its_faults_named() {
    let full_text = example("gateway.toml");
    let minimal: String = full_text
        .lines()
        .filter(|line| !line.starts_with("grace_s") && !line.starts_with("window_s"))
        .map(|line| format!("{line}\n"))
        .collect();

    let settings = process::parse::<GatewaySettings>(&minimal).expect("the rest is enough");
    let shared = full_text.replace("10.0.0.10:8081", "10.0.0.10:8080");
    let no_seeds = full_text.replace("[\"10.0.0.10:8082\", ", "[] # ");

    expect_that!(settings.grace_s, eq(8.0));
    expect_that!(settings.retries.window_s, eq(10.0));
    expect_that!(
        settings.seed_links()[1].to_string().as_str(),
        eq("10.0.1.10:7100")
    );
    expect_that!(
        fault_lines(process::parse::<GatewaySettings>(&shared)),
        contains_substring("must be different addresses")
    );
    expect_that!(
        fault_lines(process::parse::<GatewaySettings>(&no_seeds)),
        contains_substring("seeds")
    );
}

// A platform's template can write its zones as JSON only, and a table that can't be read must not be
// taken for an empty one.
#[gtest]
fn domains_are_read_from_a_table_and_from_json() {
    let table = example("gateway.toml");
    let with = |domains: &str| {
        let lines = table.lines();
        let lines = lines.map(|line| match line.starts_with("domains") {
            true => format!("domains = {domains}\n"),
            false => format!("{line}\n"),
        });
        process::parse::<GatewaySettings>(&lines.collect::<String>())
    };

    let from_table = process::parse::<GatewaySettings>(&table).expect("the example is valid");
    let from_json = with(r#"'''{"rennes": "west", "paris": "centre", "lyon": "east"}'''"#);
    let wrong_json = fault_lines(with("'[\"rennes\"]'"));
    let wrong_region = fault_lines(with("{ rennes = 3 }"));

    expect_that!(from_table.domains.len(), eq(3));
    expect_that!(
        from_json.map(|settings| settings.domains),
        ok(eq(&from_table.domains))
    );
    expect_that!(wrong_json, starts_with("domains: is `[\"rennes\"]`"));
    expect_that!(
        wrong_region,
        eq("domains: names a whole number for `rennes`, expected a name")
    );
}

#[gtest]
fn every_fault_of_a_file_is_reported_at_once() {
    let text = r#"
peers = [{ name = "c1", link = "here" }, { name = "c2", lnk = "127.0.0.1:1" }, 3]
dta = "/var/lib"

[instance]
name = ""
failure_domain = "rennes"
http = "localhost:80"
"#;

    let faults = fault_lines(process::parse::<ControlSettings>(text));

    insta::assert_snapshot!(faults);
}

#[gtest]
fn values_of_a_file_must_fit_together() {
    let text = r#"
link = "127.0.0.1:80"
data = "data"
peers = [{ name = "c2", link = "127.0.0.1:81" }, { name = "c2", link = "127.0.0.1:81" }]

[instance]
name = "c1"
failure_domain = "rennes"
secret_file = "secret"
http = "127.0.0.1:80"
"#;

    let faults = fault_lines(process::parse::<ControlSettings>(text));

    insta::assert_snapshot!(faults);
}

#[gtest]
fn check_reads_the_files_that_a_file_names() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder_path = folder.path();
    let secret = folder_path.join("secret");
    let tree = folder_path.join("tree.toml");
    fs::write(&secret, " \n").expect("writes");
    fs::write(&tree, "load_bnd = 2\n").expect("writes");
    let text = example("control.toml")
        .replace("/etc/sapphirecourse/secret", &secret.display().to_string())
        .replace("/etc/sapphirecourse/tree.toml", &tree.display().to_string());
    let file = folder_path.join("control.toml");
    fs::write(&file, text).expect("writes");

    let faults = fault_lines(process::check::<ControlSettings>(&file));

    let faults = faults.replace(&folder_path.display().to_string(), "FOLDER");
    insta::assert_snapshot!(faults);
}
