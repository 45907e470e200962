//! Limit of the routing documents that are fetched from a process at a time.

use std::time::{Duration, Instant};

use nutmegyoke_host::process::control::Uploads;

const DOCUMENT_BYTES: usize = 600_000;

/// All gateways that heard of a document fetched it from the same one, whose link was busy for
/// seconds.
#[test]
fn few_documents_are_sent_at_a_time() {
    let uploads = Uploads::default();
    let now = Instant::now();
    let begun = (0..20).filter(|_| uploads.begin(now, DOCUMENT_BYTES));
    assert_eq!(begun.count(), 3);
    assert!(!uploads.begin(now + Duration::from_millis(500), DOCUMENT_BYTES));
    assert!(uploads.begin(now + Duration::from_secs(1), DOCUMENT_BYTES));
}
