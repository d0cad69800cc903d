//! Tests of the bound on the number of names.

use super::{MAX_NAMES, number_of};

#[test]
fn names_beyond_the_maximum_share_the_last_number() {
    let mut names = vec!["first".to_owned()];
    let last = (0..5000).map(|n| number_of(&mut names, &n.to_string())).max();
    assert_eq!((names.len(), last), (MAX_NAMES, Some(MAX_NAMES as u32 - 1)));
    assert_eq!(number_of(&mut names, "first"), 0);
}
