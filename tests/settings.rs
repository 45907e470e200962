//! Faults of the settings, as an operator meets them.

use std::process::Command;

use nutmegyoke_cases::cases;
use tempfile::TempDir;

const ENTRY: &str = "[process]\nrole = entry\nname = entry-1\ndata-centre = alp-a\n\
                     operators = 127.0.0.1:0\ncontrol = 127.0.0.1:1\n\
                     [entry]\ncallers = 127.0.0.1:0\n";

/// Runs the daemon on settings that can't work; returns its exit code and complaint.
fn run(text: &str) -> (Option<i32>, String) {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("e.ini");
    std::fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
    let output = command.arg("--settings").arg(&path).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    let folder = folder.path().display().to_string();
    (output.status.code(), text.replace(&folder, "FOLDER"))
}

fn complains(text: &str, expected: &str) {
    let (code, complaint) = run(text);
    assert_eq!(
        complaint,
        format!("nutmegyoked: FOLDER/e.ini: {expected}\n")
    );
    assert_eq!(code, Some(2));
}

cases!(complains {
    empty: ("", "[process]: is missing: add the section"),
    bad_role: (
        &ENTRY.replace("role = entry", "role = baker"),
        "[process] role: `baker` is not valid: write entry, agent, control, gateway or steward"
    ),
    unknown_key: (
        &format!("{ENTRY}caller = 1\n"),
        "[entry] caller: is unknown: remove it or use one of body-bytes, callers"
    ),
    bad_value: (
        &format!("{ENTRY}body-bytes = 1 MB\n"),
        "[entry] body-bytes: `1 MB` is not valid: write a number of bytes"
    ),
    no_control: (
        &ENTRY.replace("control = 127.0.0.1:1\n", ""),
        "[process] control: is missing: add the addresses of the control processes"
    ),
});

#[test]
fn missing_file_is_named() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
    let output = command.args(["--settings", "none.ini"]).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("none.ini: "), "{text}");
    assert!(text.contains("name a readable settings file"), "{text}");
}

#[test]
fn address_that_cannot_be_bound_is_a_failed_start() {
    let text = ENTRY.replace("operators = 127.0.0.1:0", "operators = 192.0.2.1:80");
    let (code, complaint) = run(&text);
    assert_eq!(code, Some(1));
    assert!(
        complaint.contains("cannot listen on 192.0.2.1:80"),
        "{complaint}"
    );
    assert!(complaint.contains("set `operators`"), "{complaint}");
}
