//! The journal over a fake file that tears, rots and fills up, and over a real folder.
//!
//! `NUTMEGYOKE_CASES=5000 NUTMEGYOKE_SEED=7 cargo test -p nutmegyoke-host --test journal`
//! runs other seeds.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::Store;
use nutmegyoke_core::process::control::replica::{
    Batch, Content, Entry, Id, Membership, Position, Recovered, Snapshot, Vote,
};
use nutmegyoke_host::process::journal::{Failure, Folder, Journal, Medium, frame};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const FRESH: Id = Id(42);

/// A file that fails as it is told; clones share it, as processes would.
#[derive(Clone, Default)]
struct Fake(Rc<RefCell<State>>);

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    fault: Option<Fault>,
}

/// What the next write does.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The disk fills up after this share of the bytes, in percent.
    Full(usize),
    /// The device fails.
    Device,
}

impl Fake {
    fn write(&self, offset: usize, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let (written, result) = match state.fault.take() {
            None => (bytes.len(), Ok(())),
            Some(Fault::Full(share)) => (
                bytes.len() * share / 100,
                Err(io::ErrorKind::StorageFull.into()),
            ),
            Some(Fault::Device) => (0, Err(io::Error::other("device"))),
        };
        state.bytes.truncate(offset);
        state.bytes.extend_from_slice(&bytes[..written]);
        result
    }
}

impl Medium for Fake {
    async fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.0.borrow().bytes.clone())
    }

    async fn append(&mut self, offset: u64, bytes: Vec<u8>) -> io::Result<()> {
        let offset = usize::try_from(offset).unwrap();
        assert_eq!(self.0.borrow().bytes.len(), offset, "appended at the end");
        self.write(offset, &bytes)
    }

    async fn replace(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        if let Some(fault) = self.0.borrow_mut().fault.take() {
            return Err(match fault {
                Fault::Full(_) => io::ErrorKind::StorageFull.into(),
                Fault::Device => io::Error::other("device"),
            });
        }
        self.0.borrow_mut().bytes = bytes;
        Ok(())
    }

    async fn truncate(&mut self, length: u64) -> io::Result<()> {
        let length = usize::try_from(length).unwrap();
        self.0.borrow_mut().bytes.truncate(length);
        Ok(())
    }
}

fn run<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

fn batch(index: u64, entries: u64) -> Batch<Store> {
    let entries = (index..index + entries).map(|index| Entry {
        position: Position { term: 1, index },
        content: Content::Blank,
    });
    Batch {
        ticket: index,
        vote: Vote {
            term: index,
            candidate: Some(Id(index)),
        },
        snapshot: None,
        entries: entries.collect(),
    }
}

fn snapshot(index: u64) -> Batch<Store> {
    let snapshot = Snapshot {
        position: Position { term: 1, index },
        membership: Membership::default(),
        state: Store::default(),
    };
    Batch {
        snapshot: Some(Rc::new(snapshot)),
        ..batch(index + 1, 2)
    }
}

fn open(fake: &Fake) -> Result<(Journal<Fake>, Recovered<Store>), Failure> {
    run(Journal::open(fake.clone(), FRESH))
}

/// The last index of each frame, after one entry a frame.
fn indices(recovered: &Recovered<Store>) -> Vec<u64> {
    let entries = recovered.entries.iter();
    entries.map(|entry| entry.position.index).collect()
}

/// A journal of three batches; returns where each frame ends, the first being
/// that of the replica's id.
fn three() -> (Fake, Vec<usize>) {
    let fake = Fake::default();
    let (mut journal, _) = open(&fake).unwrap();
    let mut ends = vec![fake.0.borrow().bytes.len()];
    for index in 1..=3 {
        run(journal.append(&batch(index, 1))).unwrap();
        ends.push(fake.0.borrow().bytes.len());
    }
    (fake, ends)
}

#[test]
fn what_was_appended_is_recovered() {
    let (fake, _) = three();
    let (journal, recovered) = open(&fake).unwrap();
    assert_eq!(journal.id(), FRESH);
    assert_eq!(recovered.vote.term, 3);
    assert_eq!(recovered.vote.candidate, Some(Id(3)));
    assert_eq!(indices(&recovered), [1, 2, 3]);
}

#[test]
fn id_stays_that_of_the_first_opening() {
    let (fake, _) = three();
    let (journal, _) = run(Journal::open(fake, Id(7))).unwrap();
    assert_eq!(journal.id(), FRESH);
}

#[test]
fn every_torn_end_is_cut_and_written_over() {
    let (fake, ends) = three();
    let whole = fake.0.borrow().bytes.clone();
    for length in ends[2]..ends[3] {
        fake.0.borrow_mut().bytes = whole[..length].to_vec();
        let (mut journal, recovered) = open(&fake).unwrap();
        assert_eq!(indices(&recovered), [1, 2], "at {length}");
        assert_eq!(fake.0.borrow().bytes.len(), ends[2]);
        run(journal.append(&batch(3, 1))).unwrap();
        assert_eq!(indices(&open(&fake).unwrap().1), [1, 2, 3]);
    }
}

#[test]
fn every_damaged_byte_before_the_last_frame_stops_the_process() {
    let (fake, ends) = three();
    for at in 0..ends[2] {
        fake.0.borrow_mut().bytes[at] ^= 0x10;
        let failure = open(&fake).err().expect("damage is told");
        assert!(
            matches!(failure, Failure::Damaged { .. }),
            "{at}: {failure}"
        );
        fake.0.borrow_mut().bytes[at] ^= 0x10;
    }
    assert!(open(&fake).is_ok());
}

/// What stands behind the last whole frame after a power cut is cut off.
fn tail_is_cut(tail: &[u8]) {
    let (fake, ends) = three();
    fake.0.borrow_mut().bytes.extend_from_slice(tail);
    let (journal, recovered) = open(&fake).unwrap();
    assert_eq!(indices(&recovered), [1, 2, 3]);
    assert_eq!(journal.length(), ends[3] as u64);
    assert_eq!(fake.0.borrow().bytes.len(), ends[3]);
}

cases!(tail_is_cut {
    one_byte: (&[1]),
    zeros: (&[0; 4096]),
    noise: (&[0xa5; 100]),
    head_only: (&frame::encode(b"payload")[..frame::HEADER_BYTES]),
    head_and_zeros: (&{
        let mut torn = frame::encode(&[7; 64]);
        torn[frame::HEADER_BYTES..].fill(0);
        torn
    }),
});

/// A write that fails loses nothing that was reported, and can be tried again.
fn refuses(fault: Fault, batch: &Batch<Store>, full: bool) {
    let (fake, _) = three();
    let (mut journal, _) = open(&fake).unwrap();
    fake.0.borrow_mut().fault = Some(fault);
    let failure = run(journal.append(batch)).expect_err("the write fails");
    assert_eq!(failure.is_full(), full);
    // The process may end here, or go on when there is room.
    let left = Fake::default();
    left.0.borrow_mut().bytes.clone_from(&fake.0.borrow().bytes);
    assert_eq!(indices(&open(&left).unwrap().1), [1, 2, 3]);
    run(journal.append(batch)).unwrap();
    let (_, recovered) = open(&fake).unwrap();
    assert_eq!(recovered.vote, batch.vote);
    assert_eq!(recovered.snapshot.is_some(), batch.snapshot.is_some());
}

cases!(refuses {
    full_before_the_frame: (Fault::Full(0), &batch(4, 1), true),
    full_within_the_frame: (Fault::Full(50), &batch(4, 3), true),
    full_at_the_last_byte: (Fault::Full(99), &batch(4, 1), true),
    full_under_a_snapshot: (Fault::Full(50), &snapshot(3), true),
    device_fails: (Fault::Device, &batch(4, 1), false),
    device_fails_under_a_snapshot: (Fault::Device, &snapshot(3), false),
});

#[test]
fn snapshot_replaces_what_was_before() {
    let (fake, _) = three();
    let (mut journal, _) = open(&fake).unwrap();
    run(journal.append(&snapshot(2))).unwrap();
    run(journal.append(&batch(5, 1))).unwrap();
    let (journal, recovered) = open(&fake).unwrap();
    assert_eq!(journal.id(), FRESH);
    assert_eq!(recovered.snapshot.unwrap().position.index, 2);
    let positions = recovered.entries.iter();
    let indices: Vec<u64> = positions.map(|entry| entry.position.index).collect();
    assert_eq!(indices, [3, 4, 5]);
}

#[test]
fn real_folder_keeps_what_was_synced() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("data");
    run(async {
        let medium = Folder::open(&path).unwrap();
        let (mut journal, _) = Journal::open(medium, FRESH).await.unwrap();
        journal.append(&batch(1, 2)).await.unwrap();
        journal.append(&snapshot(2)).await.unwrap();
        journal.append(&batch(5, 1)).await.unwrap();
        let second = Folder::open(&path);
        assert!(matches!(second, Err(Failure::Locked { .. })));
    });
    run(async {
        let medium = Folder::open(&path).unwrap();
        let (journal, recovered) = Journal::open(medium, Id(7)).await.unwrap();
        assert_eq!(journal.id(), FRESH);
        assert_eq!(recovered.entries.len(), 3);
        assert_eq!(recovered.vote.term, 5);
    });
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Append(u64),
    Snapshot,
    Fail(usize),
    /// The process ends; the last frame may be torn by this many bytes.
    Crash(usize),
}

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a whole number"))
}

fn keeps_what_was_reported(steps: &[Step]) {
    let fake = Fake::default();
    let (mut journal, _) = open(&fake).unwrap();
    let mut reported = 0;
    for &step in steps {
        match step {
            Step::Append(entries) => {
                let reopened = run(journal.append(&batch(reported + 1, entries)));
                if reopened.is_ok() {
                    reported += entries;
                }
            }
            Step::Snapshot if reported > 0 => {
                if run(journal.append(&snapshot(reported))).is_ok() {
                    reported += 2;
                }
            }
            Step::Snapshot => {}
            Step::Fail(share) => fake.0.borrow_mut().fault = Some(Fault::Full(share)),
            Step::Crash(torn) => {
                // A frame on its way when the process ends is torn or missing.
                let mut frame = frame::encode(b"never reported");
                frame.truncate(torn);
                fake.0.borrow_mut().fault = None;
                fake.0.borrow_mut().bytes.extend_from_slice(&frame);
                let (opened, recovered) = open(&fake).unwrap();
                let last = recovered.entries.last().map(|entry| entry.position.index);
                let covered = recovered.snapshot.map(|held| held.position.index);
                assert_eq!(last.max(covered).unwrap_or(0), reported);
                journal = opened;
            }
        }
    }
}

#[test]
fn nothing_reported_is_lost() {
    let cases = u32::try_from(variable("NUTMEGYOKE_CASES", 100)).unwrap();
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(variable("NUTMEGYOKE_SEED", 20_261_204)),
        failure_persistence: None,
        ..Config::default()
    });
    let step = prop_oneof![
        4 => (1..4_u64).prop_map(Step::Append),
        1 => Just(Step::Snapshot),
        1 => (0..100_usize).prop_map(Step::Fail),
        2 => (0..20_usize).prop_map(Step::Crash),
    ];
    let run = runner.run(&prop::collection::vec(step, 1..30), |steps| {
        keeps_what_was_reported(&steps);
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}
