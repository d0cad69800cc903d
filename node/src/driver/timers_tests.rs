use super::TimerTable;

#[test]
fn timers_are_returned_in_the_order_in_which_they_are_due() {
    let mut timers = TimerTable::default();
    assert!(timers.insert(20, 'b'));
    assert!(!timers.insert(30, 'c'), "another one is due before it");
    assert!(timers.insert(10, 'a'));
    assert_eq!(timers.next_at(), Some(10));
    assert_eq!(timers.pop_due(9), None);
    assert_eq!((timers.pop_due(20), timers.pop_due(20), timers.pop_due(20)), (Some('a'), Some('b'), None));
    assert_eq!(timers.next_at(), Some(30));
}

#[test]
fn removed_timer_is_not_returned() {
    let mut timers = TimerTable::default();
    timers.insert(10, 'a');
    timers.insert(10, 'b');
    timers.remove(10, 'a');
    assert_eq!((timers.pop_due(10), timers.pop_due(10)), (Some('b'), None));
}
