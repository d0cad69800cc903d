use super::{ExpiringMap, MAX_RETAINED_REQUEST_IDS, REQUEST_ID_RETENTION, RequestIds};

const RETENTION: u64 = 100;

fn map(max_entries: usize) -> ExpiringMap<u32> {
    ExpiringMap::new(RETENTION, max_entries)
}

#[test]
fn entry_is_there_until_its_retention_is_over() {
    let mut map = map(8);
    map.insert("a".into(), 1, 50);
    assert!(map.contains("a", 149) && !map.contains("a", 150));
    assert_eq!(map.take("a", 150), None);
    map.insert("b".into(), 2, 50);
    assert_eq!(map.take("b", 149), Some(2));
    assert_eq!(map.take("b", 149), None, "it was taken");
}

#[test]
fn full_map_evicts_its_oldest_entry() {
    let mut map = map(2);
    for (n, key) in ["a", "b", "c"].into_iter().enumerate() {
        map.insert(key.into(), n as u32, n as u64);
    }
    assert!(!map.contains("a", 3) && map.contains("b", 3) && map.contains("c", 3));
    assert_eq!((map.len(), map.remembered_insertions()), (2, 2));
}

/// The insertion of a value that was taken stays in the queue: its eviction must not remove a later value with the same key.
#[test]
fn key_that_is_inserted_again_outlives_its_first_insertion() {
    let mut map = map(8);
    map.insert("a".into(), 1, 0);
    assert_eq!(map.take("a", 10), Some(1));
    map.insert("a".into(), 2, 60);
    map.insert("b".into(), 3, 120);
    assert_eq!(map.take("a", 120), Some(2));
}

#[test]
fn request_id_is_rejected_while_its_request_is_open_and_for_its_retention_after_that() {
    let mut ids = RequestIds::default();
    assert!(ids.reserve("a", 0));
    assert!(!ids.reserve("a", 10 * REQUEST_ID_RETENTION), "its request is open");
    let ended_at = 20 * REQUEST_ID_RETENTION;
    ids.release("a".into(), ended_at);
    assert!(!ids.reserve("a", ended_at + REQUEST_ID_RETENTION - 1));
    assert!(ids.reserve("a", ended_at + REQUEST_ID_RETENTION));
}

#[test]
fn oldest_ended_request_id_is_accepted_again_once_too_many_are_retained() {
    let mut ids = RequestIds::default();
    for n in 0..=MAX_RETAINED_REQUEST_IDS {
        let id = n.to_string();
        assert!(ids.reserve(&id, 0));
        ids.release(id.into(), 0);
    }
    assert!(ids.reserve("0", 0));
    assert!(!ids.reserve("1", 0));
}
