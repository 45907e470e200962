//! `nutmegyoke plan` against the demo process.

mod support;

use std::process::{Command, Output};

use support::Demo;
use tempfile::NamedTempFile;

/// Grants with a new model whose size replaces `SIZE`.
const GRANTS: &str = "[model price-ml]\nmemory-mb = 7000\nplans = demo\n\
                      [model spare-parts]\nmemory-mb = SIZE\nplans = demo\n";

fn plan(demo: &Demo, size: &str) -> Output {
    let grants = NamedTempFile::new().unwrap();
    std::fs::write(grants.path(), GRANTS.replace("SIZE", size)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
    command.args(["plan", "--json", "--control", &demo.operators.to_string()]);
    command.args(["--plans", "examples/demo/plans.ini", "--grants"]);
    command.arg(grants.path()).output().unwrap()
}

#[test]
fn previews_the_loads_of_a_new_model() {
    let demo = Demo::spawn();
    let output = plan(&demo, "5000");
    assert_eq!(output.status.code(), Some(0));
    let preview: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let moves = preview["moves"].as_array().unwrap();
    let loads = moves
        .iter()
        .filter(|row| row["action"] == "load" && row["weights"]["name"] == "spare-parts");
    assert_eq!(loads.count(), 2, "expected one copy on each VM: {preview}");
}

#[test]
fn reports_how_many_bytes_are_missing() {
    let demo = Demo::spawn();
    let output = plan(&demo, "31000");
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("31000000000 bytes short"), "{text}");
    assert!(text.contains("spare-parts"), "{text}");
}
