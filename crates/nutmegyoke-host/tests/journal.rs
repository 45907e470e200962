//! Tests the journal on a fake file with torn writes, damaged bytes and a full disk, and on
//! a real folder.
//!
//! `NUTMEGYOKE_CASES=5000 NUTMEGYOKE_SEED=7 cargo test -p nutmegyoke-host --test journal`
//! runs more cases with another seed.

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

const NEW_ID: Id = Id(42);

/// An in-memory file with injected faults. Clones share the file, as processes do.
#[derive(Clone, Default)]
struct FakeFile(Rc<RefCell<State>>);

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    fault: Option<Fault>,
    /// Whether the disk refuses everything but reads.
    full: bool,
}

/// The fault of the next write.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The disk fills up after this percentage of the bytes.
    Full(usize),
    /// The device fails.
    Device,
}

impl FakeFile {
    fn check_room(&self) -> io::Result<()> {
        if self.0.borrow().full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn write(&self, offset: usize, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let (written, result) = match state.fault.take() {
            None => (bytes.len(), Ok(())),
            Some(Fault::Full(percent)) => (
                bytes.len() * percent / 100,
                Err(io::ErrorKind::StorageFull.into()),
            ),
            Some(Fault::Device) => (0, Err(io::Error::other("device"))),
        };
        state.bytes.truncate(offset);
        state.bytes.extend_from_slice(&bytes[..written]);
        result
    }
}

impl Medium for FakeFile {
    async fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.0.borrow().bytes.clone())
    }

    async fn append(&mut self, offset: u64, bytes: Vec<u8>) -> io::Result<()> {
        let offset = usize::try_from(offset).unwrap();
        assert_eq!(
            self.0.borrow().bytes.len(),
            offset,
            "append not at the end of the file"
        );
        self.check_room()?;
        self.write(offset, &bytes)
    }

    async fn replace(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.check_room()?;
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
        self.check_room()?;
        let length = usize::try_from(length).unwrap();
        self.0.borrow_mut().bytes.truncate(length);
        Ok(())
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
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

fn open(file: &FakeFile) -> Result<(Journal<FakeFile>, Recovered<Store>), Failure> {
    block_on(Journal::open(file.clone(), NEW_ID))
}

/// A process that started while its disk was full ended at once, although it could read the
/// journal.
fn journal_opens_on_a_full_disk(file: &FakeFile, expected: &[u64]) {
    file.0.borrow_mut().full = true;
    let (mut journal, recovered) = open(file).unwrap();
    assert_eq!(indices(&recovered), expected);
    let batch = batch(4, 1);
    let refused = block_on(journal.append(&batch)).unwrap_err();
    assert!(refused.is_full(), "{refused}");
    file.0.borrow_mut().full = false;
    block_on(journal.append(&batch)).unwrap();
    let id = journal.id();
    drop(journal);
    let (journal, recovered) = open(file).unwrap();
    assert_eq!(journal.id(), id);
    assert_eq!(indices(&recovered), [expected, &[4]].concat());
}

/// A journal whose last write was torn.
fn torn() -> FakeFile {
    let (file, _) = three_batches();
    file.0.borrow_mut().bytes.extend_from_slice(&[1, 0, 0]);
    file
}

cases!(journal_opens_on_a_full_disk {
    without_a_journal: (&FakeFile::default(), &[]),
    with_a_journal: (&three_batches().0, &[1, 2, 3]),
    with_a_torn_journal: (&torn(), &[1, 2, 3]),
});

/// The indices of the recovered entries.
fn indices(recovered: &Recovered<Store>) -> Vec<u64> {
    let entries = recovered.entries.iter();
    entries.map(|entry| entry.position.index).collect()
}

/// Writes a journal of three batches with one entry each. Returns the end offset of each
/// frame; the first frame holds the replica's id.
fn three_batches() -> (FakeFile, Vec<usize>) {
    let file = FakeFile::default();
    let (mut journal, _) = open(&file).unwrap();
    let mut ends = vec![file.0.borrow().bytes.len()];
    for index in 1..=3 {
        block_on(journal.append(&batch(index, 1))).unwrap();
        ends.push(file.0.borrow().bytes.len());
    }
    (file, ends)
}

/// A restart must not lose a vote or an entry that was reported as synced.
#[test]
fn appended_batches_are_recovered() {
    let (file, _) = three_batches();
    let (journal, recovered) = open(&file).unwrap();
    assert_eq!(journal.id(), NEW_ID);
    assert_eq!(recovered.vote.term, 3);
    assert_eq!(recovered.vote.candidate, Some(Id(3)));
    assert_eq!(indices(&recovered), [1, 2, 3]);
}

/// A replica that restarts under a new ID would count as another replica.
#[test]
fn reopening_keeps_the_first_id() {
    let (file, _) = three_batches();
    let (journal, _) = block_on(Journal::open(file, Id(7))).unwrap();
    assert_eq!(journal.id(), NEW_ID);
}

/// A crash during an append leaves any part of the last frame. It must neither keep the
/// process from starting nor mix with the next frame.
#[test]
fn torn_last_frame_is_truncated_and_overwritten() {
    let (file, ends) = three_batches();
    let intact = file.0.borrow().bytes.clone();
    for length in ends[2]..ends[3] {
        file.0.borrow_mut().bytes = intact[..length].to_vec();
        let (mut journal, recovered) = open(&file).unwrap();
        assert_eq!(indices(&recovered), [1, 2], "torn after {length} bytes");
        assert_eq!(file.0.borrow().bytes.len(), ends[2]);
        block_on(journal.append(&batch(3, 1))).unwrap();
        assert_eq!(indices(&open(&file).unwrap().1), [1, 2, 3]);
    }
}

/// A damaged frame before the last one was reported as synced. Recovering only what precedes
/// it would silently lose votes and entries.
#[test]
fn damage_before_the_last_frame_is_an_error() {
    let (file, ends) = three_batches();
    for at in 0..ends[2] {
        file.0.borrow_mut().bytes[at] ^= 0x10;
        let failure = open(&file).err().expect("opening a damaged journal fails");
        assert!(
            matches!(failure, Failure::Damaged { .. }),
            "byte {at} damaged: {failure}"
        );
        file.0.borrow_mut().bytes[at] ^= 0x10;
    }
    assert!(open(&file).is_ok());
}

/// A power failure may leave arbitrary bytes after the last valid frame. They must not be
/// taken for damage to a synced frame, which would keep the process from starting.
fn invalid_tail_is_truncated(tail: &[u8]) {
    let (file, ends) = three_batches();
    file.0.borrow_mut().bytes.extend_from_slice(tail);
    let (journal, recovered) = open(&file).unwrap();
    assert_eq!(indices(&recovered), [1, 2, 3]);
    assert_eq!(journal.length(), ends[3] as u64);
    assert_eq!(file.0.borrow().bytes.len(), ends[3]);
}

cases!(invalid_tail_is_truncated {
    one_byte: (&[1]),
    zeroed_page: (&[0; 4096]),
    repeated_byte: (&[0xa5; 100]),
    header_only: (&frame::encode(b"payload")[..frame::HEADER_BYTES]),
    header_and_zeroed_payload: (&{
        let mut torn = frame::encode(&[7; 64]);
        torn[frame::HEADER_BYTES..].fill(0);
        torn
    }),
});

/// A failed write loses no batch that was reported before, and can be retried.
fn failed_append_keeps_earlier_batches(fault: Fault, batch: &Batch<Store>, full: bool) {
    let (file, _) = three_batches();
    let (mut journal, _) = open(&file).unwrap();
    file.0.borrow_mut().fault = Some(fault);
    let failure =
        block_on(journal.append(batch)).expect_err("the write fails with the injected fault");
    assert_eq!(failure.is_full(), full);
    // The process either ends here and reopens the file, or retries the write.
    let after_crash = FakeFile::default();
    after_crash
        .0
        .borrow_mut()
        .bytes
        .clone_from(&file.0.borrow().bytes);
    assert_eq!(indices(&open(&after_crash).unwrap().1), [1, 2, 3]);
    block_on(journal.append(batch)).unwrap();
    let (_, recovered) = open(&file).unwrap();
    assert_eq!(recovered.vote, batch.vote);
    assert_eq!(recovered.snapshot.is_some(), batch.snapshot.is_some());
}

cases!(failed_append_keeps_earlier_batches {
    disk_full_before_the_frame: (Fault::Full(0), &batch(4, 1), true),
    disk_full_within_the_frame: (Fault::Full(50), &batch(4, 3), true),
    disk_full_at_the_end_of_the_frame: (Fault::Full(99), &batch(4, 1), true),
    disk_full_during_a_snapshot: (Fault::Full(50), &snapshot(3), true),
    device_failure: (Fault::Device, &batch(4, 1), false),
    device_failure_during_a_snapshot: (Fault::Device, &snapshot(3), false),
});

/// Entries that a snapshot covers must not be recovered beside it.
#[test]
fn snapshot_replaces_earlier_records() {
    let (file, _) = three_batches();
    let (mut journal, _) = open(&file).unwrap();
    block_on(journal.append(&snapshot(2))).unwrap();
    block_on(journal.append(&batch(5, 1))).unwrap();
    let (journal, recovered) = open(&file).unwrap();
    assert_eq!(journal.id(), NEW_ID);
    assert_eq!(recovered.snapshot.unwrap().position.index, 2);
    let positions = recovered.entries.iter();
    let indices: Vec<u64> = positions.map(|entry| entry.position.index).collect();
    assert_eq!(indices, [3, 4, 5]);
}

/// Two processes that write one journal would damage it, so the folder is locked.
#[test]
fn real_folder_is_locked_and_keeps_synced_batches() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("data");
    block_on(async {
        let medium = Folder::open(&path).unwrap();
        let (mut journal, _) = Journal::open(medium, NEW_ID).await.unwrap();
        journal.append(&batch(1, 2)).await.unwrap();
        journal.append(&snapshot(2)).await.unwrap();
        journal.append(&batch(5, 1)).await.unwrap();
        let second = Folder::open(&path);
        assert!(matches!(second, Err(Failure::Locked { .. })));
    });
    block_on(async {
        let medium = Folder::open(&path).unwrap();
        let (journal, recovered) = Journal::open(medium, Id(7)).await.unwrap();
        assert_eq!(journal.id(), NEW_ID);
        assert_eq!(recovered.entries.len(), 3);
        assert_eq!(recovered.vote.term, 5);
    });
}

/// A step of a random sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Appends a batch with this number of entries.
    Append(u64),
    /// Appends a batch with a snapshot and two entries.
    Snapshot,
    /// Makes the next write fail after this percentage of its bytes, on a full disk.
    Fail(usize),
    /// The process crashes and leaves this many bytes of an unfinished frame.
    Crash(usize),
}

/// Reads a number from an environment variable.
fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| {
        text.parse()
            .expect("NUTMEGYOKE_CASES and NUTMEGYOKE_SEED must be whole numbers")
    })
}

/// Runs the steps and checks after each crash that all reported batches are recovered.
fn assert_reported_batches_survive(steps: &[Step]) {
    let file = FakeFile::default();
    let (mut journal, _) = open(&file).unwrap();
    let mut reported = 0;
    for &step in steps {
        match step {
            Step::Append(entries) => {
                let appended = block_on(journal.append(&batch(reported + 1, entries)));
                if appended.is_ok() {
                    reported += entries;
                }
            }
            Step::Snapshot if reported > 0 => {
                if block_on(journal.append(&snapshot(reported))).is_ok() {
                    reported += 2;
                }
            }
            Step::Snapshot => {}
            Step::Fail(percent) => file.0.borrow_mut().fault = Some(Fault::Full(percent)),
            Step::Crash(length) => {
                // A frame that is being written during a crash is torn or missing.
                let mut frame = frame::encode(b"never reported");
                frame.truncate(length);
                file.0.borrow_mut().fault = None;
                file.0.borrow_mut().bytes.extend_from_slice(&frame);
                let (reopened, recovered) = open(&file).unwrap();
                let last = recovered.entries.last().map(|entry| entry.position.index);
                let covered = recovered.snapshot.map(|snapshot| snapshot.position.index);
                assert_eq!(last.max(covered).unwrap_or(0), reported);
                journal = reopened;
            }
        }
    }
}

/// Guards against a sequence of writes, full disks and crashes after which a reported batch is
/// lost, or an unreported one is recovered.
#[test]
fn crashes_lose_no_reported_batch() {
    let cases = u32::try_from(env_number("NUTMEGYOKE_CASES", 100)).unwrap();
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(env_number("NUTMEGYOKE_SEED", 20_261_204)),
        failure_persistence: None,
        ..Config::default()
    });
    let step = prop_oneof![
        4 => (1..4_u64).prop_map(Step::Append),
        1 => Just(Step::Snapshot),
        1 => (0..100_usize).prop_map(Step::Fail),
        2 => (0..20_usize).prop_map(Step::Crash),
    ];
    let result = runner.run(&prop::collection::vec(step, 1..30), |steps| {
        assert_reported_batches_survive(&steps);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
