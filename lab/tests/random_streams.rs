//! Random streams are reproducible, and differ by purpose and number.

use ivyhatch_lab::RandomStream;

#[test]
fn streams_of_other_purposes_or_numbers_differ_and_equal_ones_repeat() {
    let draws = |purpose, number| {
        let mut stream = RandomStream::new(7, purpose, number);
        [stream.unit(), stream.unit(), stream.unit()]
    };
    assert_eq!(draws("arrivals", 0), draws("arrivals", 0));
    assert_ne!(draws("arrivals", 0), draws("arrivals", 1));
    assert_ne!(draws("arrivals", 0), draws("work", 0));
}
