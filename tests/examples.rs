//! Checks that the lists and settings in `examples` are valid and consistent.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;

use nutmegyoke_cases::cases;
use nutmegyoke_wire::process::Settings;
use nutmegyoke_wire::process::settings::RoleSettings;

fn lists_are_valid(deployment: &str, expected: &str) {
    let folder = Path::new("examples").join(deployment);
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
    command.arg("check");
    command.arg("--plans").arg(folder.join("plans.ini"));
    command.arg("--grants").arg(folder.join("grants.ini"));
    let output = command.output().unwrap();
    assert!(output.status.success(), "{output:?}");
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert_eq!(stdout.trim(), expected);
}

// The grants of Kayal are 21 models, 110 adapters and 3 services, those of Ciclofit 14, 40
// and 4.
cases!(lists_are_valid {
    demo: ("demo", "the lists are valid: 1 plans, 4 grants"),
    kayal: ("kayal", "the lists are valid: 4 plans, 134 grants"),
    ciclofit: ("ciclofit", "the lists are valid: 4 plans, 58 grants"),
});

/// Parses every settings file and checks that all of them name the same control VMs.
fn settings_agree(deployment: &str, voters: usize) {
    let folder = Path::new("examples").join(deployment).join("settings");
    let mut names = BTreeSet::new();
    let mut control_addresses = BTreeSet::new();
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let settings = Settings::parse(&path.display().to_string(), &text).unwrap();
        match settings.role_settings {
            RoleSettings::Control(control) => {
                assert!(control.data.is_some(), "{}", path.display());
                names.insert(settings.name);
                control_addresses.insert(control.peers.iter().map(|seed| seed.address).collect());
            }
            RoleSettings::Entry(_) | RoleSettings::Agent => {
                control_addresses.insert(settings.control);
            }
            RoleSettings::Gateway(_) | RoleSettings::Steward(_) => {
                panic!("{}: unexpected role in this deployment", path.display());
            }
        }
    }
    assert_eq!(names.len(), voters);
    assert_eq!(control_addresses.len(), 1, "{control_addresses:?}");
}

cases!(settings_agree {
    kayal: ("kayal", 3),
    ciclofit: ("ciclofit", 3),
});
