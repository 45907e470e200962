//! Faults of the settings, as an operator meets them.

use std::process::Command;

use nutmegyoke_cases::cases;
use nutmegyoke_wire::process::Settings;
use nutmegyoke_wire::process::settings::RoleSettings;
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

/// A template of the users' platform with its placeholders filled in.
fn render(template: &str) -> String {
    let fields = [
        ("node-name", "front-alp-a-1"),
        ("zone", "alp-a"),
        ("ip", "10.1.0.38"),
        ("port-range.0", "7380"),
        ("port-range.1", "7395"),
        ("listen.front", "10.1.0.38:8149"),
        ("listen.ready", "10.1.0.38:8141"),
        ("listen.control", "10.1.0.38:8144"),
        ("seeds", "10.1.0.38:8144,10.2.0.40:8144,10.3.0.6:8144"),
        ("loss-counts", "true"),
        ("bootstrap", "false"),
        ("data-dir", ""),
        ("heartbeat-ms", "1200"),
        ("bounds.retry-budget-ratio", "0.2"),
        ("bounds.retry-slack", "60"),
        ("bounds.budget-window-s", "10"),
        ("app", "10.1.0.41:8145"),
    ];
    let mut text = template.to_owned();
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "{text}");
    text
}

const GATEWAY: &str = include_str!("../deploy/gateway.ini");

const STEWARD: &str = include_str!("../deploy/steward.ini");

#[test]
fn templates_of_the_platform_are_accepted() {
    let gateway = Settings::parse("gateway.ini", &render(GATEWAY)).unwrap();
    let RoleSettings::Gateway(own) = gateway.role_settings else {
        panic!("{:?}", gateway.role_settings);
    };
    assert!(own.voter && !own.bootstrap);
    assert_eq!(own.data, None, "an empty path is no folder");
    assert_eq!(
        own.exchange.port(),
        7381,
        "the port after that of the links"
    );
    assert_eq!(own.contacts.len(), 3);
    let steward = Settings::parse("steward.ini", &render(STEWARD)).unwrap();
    assert!(matches!(steward.role_settings, RoleSettings::Steward(_)));
}

fn gateway_complains(from: &str, to: &str, expected: &str) {
    let text = render(GATEWAY).replace(from, to);
    let fault = Settings::parse("gateway.ini", &text).unwrap_err();
    assert_eq!(fault.to_string(), format!("gateway.ini: {expected}"));
}

cases!(gateway_complains {
    missing_registrar: (
        "registrar = 10.1.0.38:8144\n",
        "",
        "[gateway] registrar: is missing: add an IP address and port, such as 127.0.0.1:8470"
    ),
    vote_in_words: (
        "voter = true",
        "voter = perhaps",
        "[gateway] voter: `perhaps` is not valid: write true or false"
    ),
    contact_without_an_address: (
        "10.2.0.40:8144",
        "klm-b",
        "[gateway] contacts: `klm-b` is not valid: write an IP address and port, such as 127.0.0.1:8470"
    ),
    no_heartbeats: (
        "heartbeat-ms = 1200",
        "heartbeat-ms = 0",
        "[gateway] heartbeat-ms: is 0: write the period of endpoints' heartbeats"
    ),
    negative_bound: (
        "repeat-slack = 60",
        "repeat-slack = -1",
        "[gateway] repeat-slack: is negative: write 0 or more"
    ),
    unknown_section: (
        "[gateway]",
        "[gate]",
        "[gateway]: is missing: add the section"
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
