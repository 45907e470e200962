//! Tests how the chunks of a streamed answer are classified by their numbers: as the next
//! one, a duplicate, or one after a gap.

use nutmegyoke_cases::cases;
use nutmegyoke_core::connection::Sequence;
use nutmegyoke_core::connection::sequence::Position;

fn classifies(numbers: &[u64], last: Position, accepted: u64) {
    let mut sequence = Sequence::default();
    let classes: Vec<Position> = numbers
        .iter()
        .map(|&number| sequence.accept(number))
        .collect();
    assert_eq!(classes.last(), Some(&last));
    assert_eq!(sequence.count(), accepted);
}

cases!(classifies {
    first: (&[0], Position::Next, 1),
    in_order: (&[0, 1, 2], Position::Next, 3),
    resent: (&[0, 1, 0], Position::Duplicate, 2),
    skipped: (&[0, 2], Position::Gap, 1),
    first_chunk_missing: (&[1], Position::Gap, 0),
    resumed_after_gap: (&[0, 2, 1], Position::Next, 2),
});
