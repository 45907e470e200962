//! Differences of configurations, and what a process that is behind is taught.
//!
//! `NUTMEGYOKE_SEED=7 cargo test -p nutmegyoke-core --test diff` runs other cases.

use std::rc::Rc;

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::control::{CatchUp, History};
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::diff::{Diff, Mismatch, Step};
use nutmegyoke_core::version::grant::Item;
use nutmegyoke_core::version::{Configuration, Grant};
use proptest::prelude::*;

/// A configuration with a model for each name and size, in their order.
fn configuration(number: u64, models: &[(&str, u64)]) -> Rc<Configuration> {
    let grants = models.iter().map(|&(name, bytes)| Grant {
        item: Item::Model {
            name: name.into(),
            bytes,
        },
        plans: Vec::new(),
    });
    let lists = Lists {
        number,
        plans: Vec::new(),
        grants: grants.collect(),
    };
    Configuration::open(lists).unwrap()
}

fn puts(old: &[(&str, u64)], new: &[(&str, u64)], expected: usize) {
    let (old, new) = (configuration(1, old), configuration(2, new));
    let diff = Diff::between(&old, &new);
    let made = diff.apply(&old).unwrap();
    assert_eq!(made.lists(), new.lists());
    assert_eq!(made.digest(), new.digest());
    let put = diff
        .grants
        .iter()
        .filter(|step| matches!(step, Step::Put(_)));
    assert_eq!(put.count(), expected);
}

cases!(puts {
    nothing_changed: (&[("a", 1), ("b", 1)], &[("a", 1), ("b", 1)], 0),
    one_changed: (&[("a", 1), ("b", 1)], &[("a", 1), ("b", 2)], 1),
    one_added: (&[("a", 1)], &[("a", 1), ("b", 1)], 1),
    one_removed: (&[("a", 1), ("b", 1), ("c", 1)], &[("a", 1), ("c", 1)], 0),
    moved: (
        &[("a", 1), ("b", 1), ("c", 1)],
        &[("c", 1), ("a", 1), ("b", 1)],
        0
    ),
    from_nothing: (&[], &[("a", 1)], 1),
    to_nothing: (&[("a", 1)], &[], 0),
});

#[test]
fn other_base_is_refused() {
    let (one, two) = (configuration(1, &[("a", 1)]), configuration(2, &[("a", 2)]));
    let diff = Diff::between(&one, &two);
    let base = diff.apply(&two).unwrap_err();
    assert_eq!(base, Mismatch::Base { from: 1, number: 2 });
    // The same number with other content is no base either.
    assert!(diff.apply(&configuration(1, &[("b", 1)])).is_err());
}

#[test]
fn damaged_change_is_refused() {
    let (one, two) = (configuration(1, &[("a", 1)]), configuration(2, &[("a", 2)]));
    let diff = Diff::between(&one, &two);
    let other = Diff {
        digest: 7,
        ..diff.clone()
    };
    assert_eq!(other.apply(&one).unwrap_err(), Mismatch::Digest);
    let other = Diff {
        grants: vec![Step::Keep {
            start: u32::MAX,
            count: 2,
        }],
        ..diff
    };
    assert_eq!(other.apply(&one).unwrap_err(), Mismatch::Row);
}

const MODELS: [(&str, u64); 6] = [("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1), ("f", 1)];

/// A history of `versions` that each change one of six models.
fn history(versions: u64) -> History {
    let mut history = History::open(&configuration(1, &MODELS));
    for number in 2..=versions {
        let mut models = MODELS;
        models[0].1 = number;
        history.record(&configuration(number, &models));
    }
    history
}

fn teaches(known: u64, expected: &str) {
    let told = match history(10).since(known) {
        CatchUp::UpToDate => "nothing",
        CatchUp::Changes(changes) => {
            assert_eq!(changes.first().unwrap().from, known);
            assert_eq!(changes.last().unwrap().number, 10);
            "changes"
        }
        CatchUp::Full(configuration) => {
            assert_eq!(configuration.number(), 10);
            "whole"
        }
    };
    assert_eq!(told, expected);
}

cases!(teaches {
    current: (10, "nothing"),
    newer_than_control: (11, "nothing"),
    one_behind: (9, "changes"),
    // Four changes of two steps each are longer than six rows.
    changes_longer_than_the_whole: (6, "whole"),
    never_taught: (0, "whole"),
});

#[test]
fn history_is_bounded() {
    let history = history(2000);
    assert!(matches!(history.since(1999), CatchUp::Changes(_)));
    assert!(matches!(history.since(2), CatchUp::Full(_)));
    // Of six rows, no more than two changes of two steps are worth keeping.
    assert_eq!(history.len(), 2);
}

#[test]
fn change_of_every_row_is_not_kept() {
    let mut history = History::open(&configuration(1, &MODELS));
    history.record(&configuration(2, &MODELS.map(|(name, _)| (name, 2))));
    assert!(history.is_empty());
    assert!(matches!(history.since(1), CatchUp::Full(_)));
}

fn models() -> impl Strategy<Value = Vec<(String, u64)>> {
    let names = Just(vec!["a", "b", "c", "d", "e", "f", "g"]).prop_shuffle();
    let sizes = prop::collection::vec(1..4_u64, 7);
    (names, sizes, 0..8_usize).prop_map(|(names, sizes, count)| {
        let rows = names.into_iter().map(str::to_owned).zip(sizes);
        rows.take(count).collect()
    })
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn change_leads_from_any_configuration_to_any(old in models(), new in models()) {
        let open = |number, models: &[(String, u64)]| {
            let rows: Vec<(&str, u64)> = models.iter().map(|(name, size)| (&**name, *size)).collect();
            configuration(number, &rows)
        };
        let (old, new) = (open(1, &old), open(2, &new));
        let made = Diff::between(&old, &new).apply(&old).unwrap();
        prop_assert_eq!(made.lists(), new.lists());
        prop_assert_eq!(made.digest(), new.digest());
    }
}

/// Found when a snapshot without a configuration was read back: a process
/// could never be taught the first one by a change from there.
#[test]
fn no_configuration_has_the_digest_of_empty_lists() {
    assert_eq!(
        Configuration::default().digest(),
        configuration(0, &[]).digest()
    );
}
