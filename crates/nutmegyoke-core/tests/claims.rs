//! Tests of the claims on idempotency keys: when one is granted, held or expired, what a
//! conclusion changes, and the limit of their number.

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::claims::{
    Claims, MAX_CLAIMS, MAX_CLOCK_SKEW, RETENTION, Request,
};
use nutmegyoke_core::request::claim::{Key, Name, Outcome, uuid_v7_timestamp_ms};
use nutmegyoke_core::request::{Id, Reason, Verdict};

/// The current time of the leader's clock, in milliseconds since the Unix epoch.
const NOW_MS: u64 = 1_764_806_400_000;

const RETENTION_MS: u64 = RETENTION.as_secs() * 1000;
const SKEW_MS: u64 = MAX_CLOCK_SKEW.as_secs() * 1000;

/// A version 7 UUID with the timestamp `at`, in milliseconds since the Unix epoch.
fn uuid(at: u64) -> String {
    let text = format!("{at:012x}");
    format!("{}-{}-7abc-8def-0123456789ab", &text[..8], &text[8..])
}

fn claim_request(key: &str, holder: u64, requested_at: u64) -> Request {
    let name = Name {
        customer: "kayal".into(),
        key: key.to_owned(),
    };
    Request {
        key: name.key(),
        holder: Id {
            entry: 1,
            number: holder,
        },
        digest: 5,
        requested_at,
    }
}

fn is_held(outcome: &Outcome, holder: u64) -> bool {
    matches!(outcome, Outcome::Held { claim } if claim.holder.number == holder)
}

fn uuid_time(key: &str, expected: Option<u64>) {
    assert_eq!(uuid_v7_timestamp_ms(key), expected);
}

cases!(uuid_time {
    version_7: (&uuid(NOW_MS), Some(NOW_MS)),
    version_7_in_upper_case: (&uuid(NOW_MS).to_uppercase(), Some(NOW_MS)),
    version_4: ("123e4567-e89b-42d3-a456-426614174000", None),
    not_a_uuid: ("lot-7", None),
    malformed_uuid: ("123e4567-e89b-7", None),
    not_hexadecimal: ("123e456z-e89b-72d3-a456-426614174000", None),
    empty: ("", None),
});

/// Checks whether a claim is granted for a new key whose timestamp is `at`.
fn grant_by_key_time(at: u64, granted: bool) {
    let outcome = Claims::default().grant(claim_request(&uuid(at), 1, NOW_MS));
    let expected = if granted {
        Outcome::Granted
    } else {
        Outcome::Expired
    };
    assert_eq!(outcome, expected);
}

cases!(grant_by_key_time {
    now: (NOW_MS, true),
    at_the_clock_skew_limit: (NOW_MS + SKEW_MS, true),
    beyond_the_clock_skew_limit: (NOW_MS + SKEW_MS + 1, false),
    just_within_the_retention: (NOW_MS - RETENTION_MS + 1, true),
    at_the_end_of_the_retention: (NOW_MS - RETENTION_MS, false),
    far_too_old: (1, false),
});

/// A key with a timestamp is never granted to two requests, however late the second one is.
/// Otherwise a request that is resent after its claim was dropped would run twice.
fn key_with_a_time_is_granted_once(key_ahead_ms: u64, resent_after_ms: u64) {
    let mut claims = Claims::default();
    let key = uuid(NOW_MS + key_ahead_ms);
    assert_eq!(
        claims.grant(claim_request(&key, 1, NOW_MS)),
        Outcome::Granted
    );
    // A claim on another key advances the time of the log.
    claims.grant(claim_request("other", 2, NOW_MS + resent_after_ms / 2));
    let outcome = claims.grant(claim_request(&key, 3, NOW_MS + resent_after_ms));
    assert!(
        is_held(&outcome, 1) || outcome == Outcome::Expired,
        "the key was neither held nor expired: {outcome:?}"
    );
}

cases!(key_with_a_time_is_granted_once {
    immediately: (0, 0),
    before_the_retention_ends: (0, RETENTION_MS - 1),
    as_the_retention_ends: (0, RETENTION_MS),
    as_the_claim_is_dropped: (0, RETENTION_MS + SKEW_MS),
    key_ahead_of_the_clock: (SKEW_MS, RETENTION_MS),
    key_ahead_as_the_claim_is_dropped: (SKEW_MS, RETENTION_MS + SKEW_MS),
    long_after: (SKEW_MS, 100 * RETENTION_MS),
});

#[test]
fn key_without_a_time_is_kept_for_the_retention() {
    let mut claims = Claims::default();
    assert_eq!(
        claims.grant(claim_request("lot", 1, NOW_MS)),
        Outcome::Granted
    );
    let outcome = claims.grant(claim_request("lot", 2, NOW_MS + RETENTION_MS));
    assert!(is_held(&outcome, 1));
    let later = NOW_MS + RETENTION_MS + SKEW_MS;
    assert_eq!(
        claims.grant(claim_request("lot", 2, later)),
        Outcome::Granted
    );
}

#[test]
fn clock_that_steps_back_drops_nothing_early() {
    let mut claims = Claims::default();
    claims.grant(claim_request("lot", 1, NOW_MS));
    assert!(is_held(
        &claims.grant(claim_request("lot", 2, NOW_MS - 10 * RETENTION_MS)),
        1
    ));
    assert_eq!(claims.time(), NOW_MS);
}

#[test]
fn claim_of_a_request_that_did_not_run_is_granted_again() {
    let mut claims = Claims::default();
    let first = claim_request("lot", 1, NOW_MS);
    claims.grant(first);
    let not_run = Verdict::NotRun {
        reason: Reason::QueueFull,
    };
    // A conclusion from a request that does not hold the claim is ignored.
    claims.conclude(
        first.key,
        claim_request("lot", 9, NOW_MS).holder,
        not_run,
        "",
    );
    assert!(is_held(&claims.grant(claim_request("lot", 2, NOW_MS)), 1));
    claims.conclude(first.key, first.holder, not_run, "");
    assert_eq!(
        claims.grant(claim_request("lot", 2, NOW_MS + 1)),
        Outcome::Granted
    );
    // The second grant is kept for its own retention period.
    let outcome = claims.grant(claim_request("lot", 3, NOW_MS + RETENTION_MS + SKEW_MS));
    assert!(is_held(&outcome, 2));
}

#[test]
fn other_body_under_the_same_key_is_a_mismatch() {
    let mut claims = Claims::default();
    claims.grant(claim_request("lot", 1, NOW_MS));
    let other = Request {
        digest: 6,
        ..claim_request("lot", 2, NOW_MS)
    };
    assert_eq!(claims.grant(other), Outcome::Mismatch);
}

#[test]
fn full_table_refuses_new_claims_and_drops_none() {
    let mut claims = Claims::default();
    let key = |number| Key {
        hash: [number, 0],
        born: None,
    };
    for number in 0..MAX_CLAIMS as u64 {
        let request = Request {
            key: key(number),
            ..claim_request("lot", number, NOW_MS)
        };
        assert_eq!(claims.grant(request), Outcome::Granted);
    }
    assert_eq!(
        claims.grant(claim_request("one more", 1, NOW_MS)),
        Outcome::Full
    );
    let first = Request {
        key: key(0),
        ..claim_request("lot", 7, NOW_MS)
    };
    assert!(is_held(&claims.grant(first), 0));
}

#[test]
fn snapshot_holds_every_claim() {
    let mut claims = Claims::default();
    for number in 0..20 {
        claims.grant(claim_request(
            &format!("lot-{number}"),
            number,
            NOW_MS + number,
        ));
    }
    let request = claim_request("lot-3", 3, NOW_MS);
    claims.conclude(request.key, request.holder, Verdict::Ran, "vm-1");
    let rows = claims.rows().map(|(key, row)| (key, row.clone()));
    let mut restored = Claims::open(claims.time(), rows.collect::<Vec<_>>());
    assert!(restored.rows().eq(claims.rows()));
    assert!(is_held(
        &restored.grant(claim_request("lot-3", 99, NOW_MS)),
        3
    ));
}
