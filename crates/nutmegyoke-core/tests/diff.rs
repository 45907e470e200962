//! Tests of the differences between configurations, and of the history from which control
//! brings a process with an older configuration up to date.
//!
//! To run other cases: `NUTMEGYOKE_SEED=7 cargo test -p nutmegyoke-core --test diff`.

use std::rc::Rc;

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::control::{CatchUp, History};
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::diff::{Diff, Mismatch, Step};
use nutmegyoke_core::version::grant::Item;
use nutmegyoke_core::version::{Configuration, Grant};
use proptest::prelude::*;

/// A configuration with a model for each name and size, in the given order.
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

/// Checks that a diff turns `old` into `new` and contains `expected` full rows.
fn put_steps(old: &[(&str, u64)], new: &[(&str, u64)], expected: usize) {
    let (old, new) = (configuration(1, old), configuration(2, new));
    let diff = Diff::between(&old, &new);
    let result = diff.apply(&old).unwrap();
    assert_eq!(result.lists(), new.lists());
    assert_eq!(result.digest(), new.digest());
    let put_count = diff
        .grants
        .iter()
        .filter(|step| matches!(step, Step::Put(_)));
    assert_eq!(put_count.count(), expected);
}

cases!(put_steps {
    nothing_changed: (&[("a", 1), ("b", 1)], &[("a", 1), ("b", 1)], 0),
    one_changed: (&[("a", 1), ("b", 1)], &[("a", 1), ("b", 2)], 1),
    one_added: (&[("a", 1)], &[("a", 1), ("b", 1)], 1),
    one_removed: (&[("a", 1), ("b", 1), ("c", 1)], &[("a", 1), ("c", 1)], 0),
    reordered: (
        &[("a", 1), ("b", 1), ("c", 1)],
        &[("c", 1), ("a", 1), ("b", 1)],
        0
    ),
    from_empty: (&[], &[("a", 1)], 1),
    to_empty: (&[("a", 1)], &[], 0),
});

#[test]
fn different_base_is_rejected() {
    let (one, two) = (configuration(1, &[("a", 1)]), configuration(2, &[("a", 2)]));
    let diff = Diff::between(&one, &two);
    let mismatch = diff.apply(&two).unwrap_err();
    assert_eq!(mismatch, Mismatch::Base { from: 1, number: 2 });
    // A base with the right number and different content is rejected too.
    assert!(diff.apply(&configuration(1, &[("b", 1)])).is_err());
}

#[test]
fn damaged_diff_is_rejected() {
    let (one, two) = (configuration(1, &[("a", 1)]), configuration(2, &[("a", 2)]));
    let diff = Diff::between(&one, &two);
    let damaged = Diff {
        digest: 7,
        ..diff.clone()
    };
    assert_eq!(damaged.apply(&one).unwrap_err(), Mismatch::Digest);
    let damaged = Diff {
        grants: vec![Step::Keep {
            start: u32::MAX,
            count: 2,
        }],
        ..diff
    };
    assert_eq!(damaged.apply(&one).unwrap_err(), Mismatch::Row);
}

const MODELS: [(&str, u64); 6] = [("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1), ("f", 1)];

/// A history of `versions` configurations, each of which changes one of six models.
fn history(versions: u64) -> History {
    let mut history = History::open(&configuration(1, &MODELS));
    for number in 2..=versions {
        let mut models = MODELS;
        models[0].1 = number;
        history.record(&configuration(number, &models));
    }
    history
}

/// Checks what a process with configuration number `known` is sent while number 10 is in
/// force.
fn catch_up(known: u64, expected: &str) {
    let kind = match history(10).since(known) {
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
    assert_eq!(kind, expected);
}

cases!(catch_up {
    up_to_date: (10, "nothing"),
    newer_than_control: (11, "nothing"),
    one_behind: (9, "changes"),
    // Four changes of two steps each are larger than the full configuration of six rows.
    changes_larger_than_the_full_configuration: (6, "whole"),
    no_configuration: (0, "whole"),
});

#[test]
fn history_is_bounded() {
    let history = history(2000);
    assert!(matches!(history.since(1999), CatchUp::Changes(_)));
    assert!(matches!(history.since(2), CatchUp::Full(_)));
    // Three changes of two steps each would be as large as the full configuration of six
    // rows.
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
    fn diff_turns_any_configuration_into_any_other(old in models(), new in models()) {
        let open = |number, models: &[(String, u64)]| {
            let rows: Vec<(&str, u64)> = models.iter().map(|(name, size)| (&**name, *size)).collect();
            configuration(number, &rows)
        };
        let (old, new) = (open(1, &old), open(2, &new));
        let result = Diff::between(&old, &new).apply(&old).unwrap();
        prop_assert_eq!(result.lists(), new.lists());
        prop_assert_eq!(result.digest(), new.digest());
    }
}

/// A snapshot without a configuration is read back as empty lists. If their digest differed,
/// a process restored from it could never apply the change to the first configuration.
#[test]
fn default_configuration_has_the_digest_of_empty_lists() {
    assert_eq!(
        Configuration::default().digest(),
        configuration(0, &[]).digest()
    );
}
