//! Recovery of data folders that were truncated, modified, incomplete or locked.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use googletest::prelude::*;
use replica::{
    AppendRecord, EntryPayload, HardState, LogEntry, MemberSet, PersistBatch, PersistOperation,
    SnapshotRecord,
};
use store::{DiskFolder, MemberStore, OpenedMember, StoreError};
use tempfile::TempDir;

const IDENTITY: u64 = 77;

fn entry(index: u64) -> LogEntry {
    LogEntry {
        index,
        term: 1 + index / 3,
        payload: EntryPayload::Command(vec![index as u8; 5]),
    }
}

fn hard(term: u64) -> HardState {
    HardState {
        cluster: IDENTITY,
        term,
        vote: None,
    }
}

fn append(number: u64, truncate_from: Option<u64>, entries: Vec<LogEntry>) -> PersistBatch {
    let record = AppendRecord {
        hard: hard(number),
        truncate_from,
        entries,
    };
    PersistBatch {
        number,
        operation: PersistOperation::Append(record),
    }
}

fn snapshot(index: u64) -> Arc<SnapshotRecord> {
    Arc::new(SnapshotRecord {
        index,
        term: entry(index).term,
        members: MemberSet::default(),
        state: vec![9; 20],
    })
}

fn open(path: &Path) -> store::Result<(MemberStore<DiskFolder>, OpenedMember)> {
    MemberStore::open(DiskFolder::open(path)?, IDENTITY)
}

/// A folder with a snapshot of 4 entries and 6 entries after it, each in a write of its own.
fn filled_folder() -> TempDir {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (mut store, _) = open(folder.path()).expect("new folder");
    let first = (1..=4).map(entry).collect();
    store
        .write(&[append(1, None, first)])
        .expect("room on the disk");
    let replace = PersistBatch {
        number: 2,
        operation: PersistOperation::Replace {
            hard: hard(2),
            snapshot: snapshot(4),
            entries: vec![entry(3), entry(4)],
        },
    };
    store.write(&[replace]).expect("room on the disk");
    for index in 5..=10 {
        let batch = append(index, None, vec![entry(index)]);
        store.write(&[batch]).expect("room on the disk");
    }
    folder
}

fn last_index(opened: &OpenedMember) -> u64 {
    opened.recovered.entries.last().map_or(0, |last| last.index)
}

#[gtest]
fn everything_written_is_recovered() {
    let folder = filled_folder();

    let (_, opened) = open(folder.path()).unwrap();

    let expected: Vec<LogEntry> = (3..=10).map(entry).collect();
    expect_that!(opened.identity, eq(IDENTITY));
    expect_that!(opened.is_new, eq(false));
    expect_that!(opened.recovered.entries, eq(&expected));
    expect_that!(opened.recovered.hard, eq(hard(10)));
    expect_that!(opened.recovered.snapshot, some(eq(&snapshot(4))));
}

#[gtest]
fn truncation_replaces_entries() {
    let folder = filled_folder();
    let (mut store, _) = open(folder.path()).unwrap();
    let mut other = entry(8);
    other.term = 9;

    store
        .write(&[append(1, Some(8), vec![other.clone()])])
        .unwrap();
    drop(store);

    let (_, opened) = open(folder.path()).unwrap();
    expect_that!(opened.recovered.entries.last(), some(eq(&other)));
}

#[gtest]
fn log_truncated_at_any_byte_keeps_whole_writes_or_is_refused() {
    let folder = filled_folder();
    let path = folder.path().join("log");
    let bytes = fs::read(&path).unwrap();
    let mut refused = 0;
    let mut last = 4;

    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        match open(folder.path()) {
            Ok((store, opened)) => {
                let index = last_index(&opened);
                assert!(index == last || index == last + 1, "entry lost at {length}");
                last = index;
                drop(store);
                let repaired = fs::read(&path).unwrap();
                assert!(bytes.starts_with(&repaired), "bytes changed at {length}");
            }
            Err(StoreError::Damaged { .. }) => {
                assert_eq!(last, 4, "refused a torn tail at {length}");
                refused += 1;
            }
            Err(error) => panic!("{error} at {length}"),
        }
    }

    expect_that!(last, eq(9));
    expect_that!(refused, lt(bytes.len() / 2));
}

#[gtest]
fn tail_of_zeroed_blocks_is_truncated() {
    let folder = filled_folder();
    let path = folder.path().join("log");
    let bytes = fs::read(&path).unwrap();
    let whole = bytes.len();

    for written in whole - 20..whole {
        let mut torn = bytes[..written].to_vec();
        torn.resize(whole, 0);
        fs::write(&path, &torn).unwrap();
        let (_, opened) = open(folder.path()).unwrap();
        expect_that!(last_index(&opened), eq(9));
    }
}

#[gtest]
fn any_flipped_bit_is_refused() {
    let folder = filled_folder();

    for name in ["log", "snapshot"] {
        let path = folder.path().join(name);
        let bytes = fs::read(&path).unwrap();
        for bit in 0..bytes.len() * 8 {
            let mut flipped = bytes.clone();
            flipped[bit / 8] ^= 1 << (bit % 8);
            fs::write(&path, &flipped).unwrap();
            let refusal = open(folder.path()).err();
            let is_refused = matches!(
                refusal,
                Some(StoreError::Damaged { .. } | StoreError::Version { .. })
            );
            assert!(is_refused, "bit {bit} of {name}: {refusal:?}");
            assert_eq!(
                fs::read(&path).unwrap(),
                flipped,
                "damaged file was modified"
            );
        }
        fs::write(&path, &bytes).unwrap();
    }
}

#[gtest]
fn snapshot_truncated_at_any_byte_is_refused() {
    let folder = filled_folder();
    let path = folder.path().join("snapshot");
    let bytes = fs::read(&path).unwrap();

    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        let refusal = open(folder.path()).err();
        assert!(
            matches!(refusal, Some(StoreError::Damaged { .. })),
            "cut at {length}: {refusal:?}"
        );
    }
}

#[gtest]
fn missing_file_is_refused() {
    for name in ["log", "snapshot"] {
        let folder = filled_folder();
        fs::remove_file(folder.path().join(name)).unwrap();

        let refusal = open(folder.path()).err();

        assert!(
            matches!(refusal, Some(StoreError::Damaged { .. })),
            "{name}"
        );
    }
}

#[gtest]
fn folder_in_use_is_refused() {
    let folder = filled_folder();
    let held = open(folder.path()).unwrap();

    let refusal = open(folder.path()).err();

    assert!(matches!(refusal, Some(StoreError::Locked)));
    drop(held);
    assert!(open(folder.path()).is_ok());
}

#[gtest]
fn empty_folder_is_a_new_member() {
    let folder = tempfile::tempdir().unwrap();

    let (_, opened) = open(&folder.path().join("data")).unwrap();

    expect_that!(opened.is_new, eq(true));
    expect_that!(opened.recovered.entries, is_empty());
}

#[gtest]
fn messages_name_the_file_and_the_remedy() {
    let folder = filled_folder();
    let path = folder.path().join("log");
    let mut bytes = fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    fs::write(&path, &bytes).unwrap();

    let refusal = open(folder.path()).err().unwrap().to_string();

    expect_that!(refusal, starts_with("log is damaged at byte "));
    expect_that!(refusal, contains_substring("emptying its data folder"));
}
