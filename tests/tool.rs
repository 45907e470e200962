//! The command-line tool: its exit codes, and the JSON output that scripts read.

mod support;

use std::process::{Command, Output};

use nutmegyoke_cases::cases;
use support::fleet::Fleet;
use support::free_address;

const PLANS: &str = "examples/demo/plans.ini";
const GRANTS: &str = "examples/demo/grants.ini";

fn run_tool(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
    command.args(arguments).output().unwrap()
}

/// Parses the tool's JSON output. The digest is replaced after a check of its type,
/// because the demo's lists may change.
fn json(output: &Output) -> serde_json::Value {
    let mut value: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    if let Some(digest) = value.get_mut("digest") {
        assert!(digest.is_u64(), "{digest}");
        *digest = "[digest]".into();
    }
    value
}

fn fails_with(arguments: &[&str], code: i32, expected: &str) {
    let output = run_tool(arguments);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(expected), "{text}");
}

cases!(fails_with {
    no_command: (&[], 2, "Usage"),
    unknown_command: (&["bake"], 2, "unrecognized subcommand"),
    missing_list: (
        &["check", "--plans", "none.ini", "--grants", GRANTS],
        2,
        "none.ini: "
    ),
    lists_swapped: (
        &["check", "--plans", GRANTS, "--grants", PLANS],
        2,
        "[model price-ml]: is unknown: use [plan NAME]"
    ),
    configuration_number_zero: (
        &[
            "apply",
            "--control",
            "127.0.0.1:1",
            "--number",
            "0",
            "--plans",
            PLANS,
            "--grants",
            GRANTS
        ],
        2,
        "--number"
    ),
    lists_are_checked_before_control_is_called: (
        &[
            "apply",
            "--control",
            "127.0.0.1:1",
            "--number",
            "1",
            "--plans",
            "none.ini",
            "--grants",
            GRANTS
        ],
        2,
        "none.ini: "
    ),
    apply_unreachable: (
        &[
            "apply",
            "--control",
            &free_address().to_string(),
            "--number",
            "1",
            "--plans",
            PLANS,
            "--grants",
            GRANTS
        ],
        1,
        "is it the operators' address of a control process?"
    ),
    status_unreachable: (
        &["status", "--control", &free_address().to_string()],
        1,
        "is it the operators' address of a control process?"
    ),
});

#[test]
fn check_counts_rows() {
    let output = run_tool(&["check", "--plans", PLANS, "--grants", GRANTS, "--json"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_json_snapshot!(json(&output));
}

#[test]
fn json_of_apply_and_status_is_stable() {
    let fleet = Fleet::spawn();
    let control = fleet.operators.to_string();
    let apply = |number| {
        let lists = ["--plans", PLANS, "--grants", GRANTS, "--json"];
        run_tool(
            &[
                &["apply", "--control", &control, "--number", number],
                &lists[..],
            ]
            .concat(),
        )
    };
    let accepted = apply("4");
    let stale = apply("3");
    assert_eq!(accepted.status.code(), Some(0));
    assert_eq!(stale.status.code(), Some(3));
    insta::assert_json_snapshot!("accepted", json(&accepted));
    insta::assert_json_snapshot!("stale", json(&stale));
    let status = run_tool(&["status", "--control", &control, "--json"]);
    assert_eq!(status.status.code(), Some(0));
    let mut shown = json(&status);
    // Which processes have already sent a heartbeat depends on timing.
    shown["members"] = shown["members"].is_array().into();
    let replica = &mut shown["replicas"][0];
    // The id is random, and the address differs between runs.
    assert!(replica["id"].is_u64());
    replica["id"] = "[id]".into();
    replica["seed"]["address"] = "[address]".into();
    insta::assert_json_snapshot!("status", shown);
}
