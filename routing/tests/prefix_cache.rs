//! A prompt's parts: what headers say in all their forms, and what a server has to read of it.

use googletest::prelude::*;
use ivyhatch_protocol::SECOND;
use ivyhatch_routing::prefix_cache::{PrefixCache, Prompt};

fn prompt(prefix: &str, counts: &str) -> Prompt {
    Prompt::from_headers("m", Some(prefix), Some(counts))
}

fn sizes(prompt: &Prompt) -> Vec<u32> {
    prompt.parts.iter().map(|(_, tokens)| *tokens).collect()
}

#[gtest]
fn the_headers_are_read_as_they_stand() {
    let read = prompt("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "1460,80");
    expect_that!(sizes(&read), elements_are![eq(&800), eq(&410), eq(&250)]);
    expect_that!((read.tokens, read.out), eq((1460, 80)));
    expect_that!(read.affinity_key(), some(eq(read.parts[1].0)), "the last part is the request's own");
    let spaced = prompt(" 5c1e07a2:800 ,91bd3f06:410 , e4402b7d:250", " 1460 , 80 ");
    expect_that!(spaced, eq(&read));
    expect_that!(prompt("5C1E07A2:800,91BD3F06:410,E4402B7D:250", "1460,80"), eq(&read), "hex in any case");
}

#[gtest]
fn what_is_missing_is_made_up_from_the_rest() {
    let nothing = Prompt::from_headers("", None, None);
    expect_that!(nothing, eq(&Prompt::default()));
    expect_that!(nothing.affinity_key(), none());
    let listed = Prompt::from_headers("m", Some("a:30,b:12"), None);
    expect_that!((listed.tokens, listed.out), eq((42, 0)));
    let counted = Prompt::from_headers("m", None, Some("99"));
    expect_that!((counted.parts.len(), counted.tokens, counted.out), eq((0, 99, 0)));
    expect_that!(prompt("a:30", "1,2").affinity_key(), none(), "its only part is its own");
    expect_that!(prompt("a:30,b:12", "x,7").tokens, eq(42));
    expect_that!(prompt("a:30,b:12", "x,7").out, eq(7));
}

#[gtest]
fn parts_of_two_models_are_not_the_same() {
    let (one, other) =
        (Prompt::from_headers("m", Some("a:3"), None), Prompt::from_headers("n", Some("a:3"), None));
    expect_that!(one.parts[0].0, not(eq(other.parts[0].0)));
    expect_that!(one, eq(&Prompt::from_headers("m", Some("a:3"), None)));
}

#[gtest]
fn garbage_is_left_out() {
    let text = ",,a:,:5,xyz:5,a:-1,a:1.5,a:5:6,a,::,a:99999999999,ffffffffffffffffff:1,\u{fc}:1";
    expect_that!(prompt(text, "").parts, is_empty());
    expect_that!(sizes(&prompt(&format!("{text},a:7,{text}"), "")), elements_are![eq(&7)]);
    for counts in ["", ",", "-1,-1", "x", "1.5,2.5", "99999999999,99999999999", ",,,,"] {
        let read = prompt("a:7", counts);
        expect_that!((read.tokens, read.out), eq((7, 0)), "{counts}");
    }
    expect_that!(prompt("", "1,2,3,4").out, eq(2));
}

#[gtest]
fn sizes_beyond_all_measure_do_no_harm() {
    let most = u32::MAX;
    let huge = prompt(&format!("a:{most},b:{most},c:{most}"), "");
    expect_that!(huge.parts, len(eq(3)));
    expect_that!(huge.tokens, ge(most / 2), "it stays large");
    let mut kept = PrefixCache::default();
    kept.read(SECOND, &huge);
    expect_that!(kept.unread(SECOND, &huge), eq(0));
}

#[gtest]
fn only_what_stands_behind_kept_parts_need_not_be_read() {
    let mut kept = PrefixCache::default();
    let read = prompt("a:800,b:400,c:200", "1500,9");
    expect_that!(kept.unread(SECOND, &read), eq(1500));
    kept.read(SECOND, &read);
    expect_that!(kept.unread(SECOND, &read), eq(100), "the rest is no part");
    expect_that!(kept.unread(SECOND, &prompt("a:800,b:400,d:300", "1500,9")), eq(300));
    expect_that!(
        kept.unread(SECOND, &prompt("a:800,d:300,b:400", "1500,9")),
        eq(700),
        "what is before it is not kept"
    );
    expect_that!(kept.unread(SECOND, &prompt("d:300,a:800,b:400", "1500,9")), eq(1500));
    expect_that!(
        kept.unread(SECOND, &prompt("b:400,c:200", "600,9")),
        eq(0),
        "what was read alone is known alone"
    );
    expect_that!(kept.unread(SECOND, &prompt("a:800", "300,9")), eq(0), "never below nothing");
}

#[gtest]
fn what_was_not_used_for_long_is_taken_for_forgotten() {
    let (mut kept, read) = (PrefixCache::default(), prompt("a:800,b:400", "1200,9"));
    kept.read(SECOND, &read);
    expect_that!(kept.unread(60 * SECOND, &read), eq(0));
    expect_that!(kept.unread(600 * SECOND, &read), eq(1200));
    kept.read(80 * SECOND, &prompt("a:800", "800,9"));
    expect_that!(kept.unread(120 * SECOND, &read), eq(400), "use keeps it");
}

#[gtest]
fn memory_is_bounded_and_the_newest_parts_stay() {
    let mut kept = PrefixCache::default();
    let numbered = |number: u32| prompt(&format!("{number:x}:10"), "10,1");
    const MANY: u32 = 50_000;
    for number in 0..MANY {
        kept.read(SECOND + u64::from(number), &numbered(number));
    }
    let now = SECOND + u64::from(MANY);
    let known = (0..MANY).filter(|number| kept.unread(now, &numbered(*number)) == 0).count();
    expect_that!(known, all![ge(1000), le(5000)]);
    expect_that!((MANY - 1000..MANY).all(|number| kept.unread(now, &numbered(number)) == 0), eq(true));
}
