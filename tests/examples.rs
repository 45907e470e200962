//! The examples of both users' deployments are valid.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;

use nutmegyoke_cases::cases;
use nutmegyoke_wire::process::Settings;
use nutmegyoke_wire::process::settings::RoleSettings;

fn lists_are_valid(user: &str, expected: &str) {
    let folder = Path::new("examples").join(user);
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoke"));
    command.arg("check");
    command.arg("--plans").arg(folder.join("plans.ini"));
    command.arg("--grants").arg(folder.join("grants.ini"));
    let output = command.output().unwrap();
    assert!(output.status.success(), "{output:?}");
    let told = String::from_utf8(output.stdout).unwrap();
    assert_eq!(told.trim(), expected);
}

// Kayal: 21 models, 110 adapters, 3 services. Ciclofit: 14, 40 and 4.
cases!(lists_are_valid {
    demo: ("demo", "the lists are valid: 1 plans, 4 grants"),
    kayal: ("kayal", "the lists are valid: 4 plans, 134 grants"),
    ciclofit: ("ciclofit", "the lists are valid: 4 plans, 58 grants"),
});

/// Every settings file parses, and all name the same control VMs.
fn settings_agree(user: &str, voters: usize) {
    let folder = Path::new("examples").join(user).join("settings");
    let mut names = BTreeSet::new();
    let mut links = BTreeSet::new();
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let settings = Settings::parse(&path.display().to_string(), &text).unwrap();
        match settings.role_settings {
            RoleSettings::Control(own) => {
                assert!(own.data.is_some(), "{}", path.display());
                names.insert(settings.name);
                links.insert(own.peers.iter().map(|seed| seed.address).collect());
            }
            RoleSettings::Entry(_) | RoleSettings::Agent => {
                links.insert(settings.control);
            }
            RoleSettings::Gateway(_) | RoleSettings::Steward(_) => {
                panic!("{}: no role of these fleets", path.display());
            }
        }
    }
    assert_eq!(names.len(), voters);
    assert_eq!(links.len(), 1, "{links:?}");
}

cases!(settings_agree {
    kayal: ("kayal", 3),
    ciclofit: ("ciclofit", 3),
});
