//! Claims within and beyond their retention.

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::claims::{CAPACITY, Claims, RETENTION, SKEW, Wish};
use nutmegyoke_core::request::claim::{Key, Name, Outcome, uuid_v7_timestamp_ms};
use nutmegyoke_core::request::{Id, Reason, Verdict};

/// A wall-clock time, in milliseconds since the Unix epoch.
const NOW: u64 = 1_764_806_400_000;

const RETENTION_MS: u64 = RETENTION.as_secs() * 1000;
const SKEW_MS: u64 = SKEW.as_secs() * 1000;

/// A version 7 UUID of the time `at`.
fn uuid(at: u64) -> String {
    let text = format!("{at:012x}");
    format!("{}-{}-7abc-8def-0123456789ab", &text[..8], &text[8..])
}

fn wish(key: &str, holder: u64, at: u64) -> Wish {
    let name = Name {
        customer: "kayal".into(),
        key: key.to_owned(),
    };
    Wish {
        key: name.key(),
        holder: Id {
            entry: 1,
            number: holder,
        },
        digest: 5,
        at,
    }
}

fn is_held(outcome: &Outcome, by: u64) -> bool {
    matches!(outcome, Outcome::Held { claim } if claim.holder.number == by)
}

fn carries(key: &str, expected: Option<u64>) {
    assert_eq!(uuid_v7_timestamp_ms(key), expected);
}

cases!(carries {
    version_7: (&uuid(NOW), Some(NOW)),
    version_7_in_capitals: (&uuid(NOW).to_uppercase(), Some(NOW)),
    version_4: ("123e4567-e89b-42d3-a456-426614174000", None),
    no_uuid: ("lot-7", None),
    broken_uuid: ("123e4567-e89b-7", None),
    not_hexadecimal: ("123e456z-e89b-72d3-a456-426614174000", None),
    empty: ("", None),
});

/// A new key with the time `at` is granted, or refused for its time.
fn time_of_key(at: u64, granted: bool) {
    let outcome = Claims::default().grant(wish(&uuid(at), 1, NOW));
    let expected = if granted {
        Outcome::Granted
    } else {
        Outcome::Expired
    };
    assert_eq!(outcome, expected);
}

cases!(time_of_key {
    now: (NOW, true),
    youngest_within: (NOW + SKEW_MS, true),
    ahead_of_the_clock: (NOW + SKEW_MS + 1, false),
    oldest_within: (NOW - RETENTION_MS + 1, true),
    as_old_as_the_retention: (NOW - RETENTION_MS, false),
    far_too_old: (1, false),
});

/// No key with a time is granted twice, whenever it comes again.
fn key_with_a_time_is_granted_once(ahead: u64, again: u64) {
    let mut claims = Claims::default();
    let key = uuid(NOW + ahead);
    assert_eq!(claims.grant(wish(&key, 1, NOW)), Outcome::Granted);
    // Other claims make time pass in the log.
    claims.grant(wish("other", 2, NOW + again / 2));
    let outcome = claims.grant(wish(&key, 3, NOW + again));
    assert!(
        is_held(&outcome, 1) || outcome == Outcome::Expired,
        "{outcome:?}"
    );
}

cases!(key_with_a_time_is_granted_once {
    at_once: (0, 0),
    before_the_retention_ends: (0, RETENTION_MS - 1),
    as_the_retention_ends: (0, RETENTION_MS),
    as_the_claim_is_dropped: (0, RETENTION_MS + SKEW_MS),
    ahead_of_the_clock: (SKEW_MS, RETENTION_MS),
    ahead_as_the_claim_is_dropped: (SKEW_MS, RETENTION_MS + SKEW_MS),
    long_after: (SKEW_MS, 100 * RETENTION_MS),
});

#[test]
fn key_without_a_time_is_known_for_the_retention() {
    let mut claims = Claims::default();
    assert_eq!(claims.grant(wish("lot", 1, NOW)), Outcome::Granted);
    let outcome = claims.grant(wish("lot", 2, NOW + RETENTION_MS));
    assert!(is_held(&outcome, 1));
    let later = NOW + RETENTION_MS + SKEW_MS;
    assert_eq!(claims.grant(wish("lot", 2, later)), Outcome::Granted);
}

#[test]
fn clock_that_steps_back_drops_nothing_early() {
    let mut claims = Claims::default();
    claims.grant(wish("lot", 1, NOW));
    assert!(is_held(
        &claims.grant(wish("lot", 2, NOW - 10 * RETENTION_MS)),
        1
    ));
    assert_eq!(claims.time(), NOW);
}

#[test]
fn claim_given_back_may_be_granted_again() {
    let mut claims = Claims::default();
    let first = wish("lot", 1, NOW);
    claims.grant(first);
    let not_run = Verdict::NotRun {
        reason: Reason::QueueFull,
    };
    // Only the holder gives it back.
    claims.conclude(first.key, wish("lot", 9, NOW).holder, not_run, "");
    assert!(is_held(&claims.grant(wish("lot", 2, NOW)), 1));
    claims.conclude(first.key, first.holder, not_run, "");
    assert_eq!(claims.grant(wish("lot", 2, NOW + 1)), Outcome::Granted);
    // The later grant is kept for its own retention.
    let outcome = claims.grant(wish("lot", 3, NOW + RETENTION_MS + SKEW_MS));
    assert!(is_held(&outcome, 2));
}

#[test]
fn other_body_under_the_same_key_is_a_mismatch() {
    let mut claims = Claims::default();
    claims.grant(wish("lot", 1, NOW));
    let other = Wish {
        digest: 6,
        ..wish("lot", 2, NOW)
    };
    assert_eq!(claims.grant(other), Outcome::Mismatch);
}

#[test]
fn full_claims_refuse_and_drop_nothing() {
    let mut claims = Claims::default();
    let key = |number| Key {
        hash: [number, 0],
        born: None,
    };
    for number in 0..CAPACITY as u64 {
        let wish = Wish {
            key: key(number),
            ..wish("lot", number, NOW)
        };
        assert_eq!(claims.grant(wish), Outcome::Granted);
    }
    assert_eq!(claims.grant(wish("one more", 1, NOW)), Outcome::Full);
    let first = Wish {
        key: key(0),
        ..wish("lot", 7, NOW)
    };
    assert!(is_held(&claims.grant(first), 0));
}

#[test]
fn snapshot_holds_every_claim() {
    let mut claims = Claims::default();
    for number in 0..20 {
        claims.grant(wish(&format!("lot-{number}"), number, NOW + number));
    }
    let held = wish("lot-3", 3, NOW);
    claims.conclude(held.key, held.holder, Verdict::Ran, "vm-1");
    let rows = claims.rows().map(|(key, row)| (key, row.clone()));
    let mut copy = Claims::open(claims.time(), rows.collect::<Vec<_>>());
    assert!(copy.rows().eq(claims.rows()));
    assert!(is_held(&copy.grant(wish("lot-3", 99, NOW)), 3));
}
