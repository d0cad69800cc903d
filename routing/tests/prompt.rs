//! Parsing of prompt headers, well formed and malformed.

use googletest::prelude::*;
use ivyhatch_routing::prompt::Prompt;

fn prompt(prefix: &str, counts: &str) -> Prompt {
    Prompt::from_headers("m", Some(prefix), Some(counts))
}

fn segment_tokens(prompt: &Prompt) -> Vec<u32> {
    prompt.segments.iter().map(|segment| segment.tokens).collect()
}

#[gtest]
fn headers_are_parsed_with_spaces_and_in_any_case() {
    let parsed = prompt("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "1460,80");
    expect_that!(segment_tokens(&parsed), elements_are![eq(&800), eq(&410), eq(&250)]);
    expect_that!((parsed.tokens, parsed.max_output_tokens), eq((1460, 80)));
    expect_that!(
        parsed.affinity_key(),
        some(eq(parsed.segments[1].id)),
        "the last segment is the request's own"
    );
    let spaced = prompt(" 5c1e07a2:800 ,91bd3f06:410 , e4402b7d:250", " 1460 , 80 ");
    expect_that!(spaced, eq(&parsed));
    expect_that!(prompt("5C1E07A2:800,91BD3F06:410,E4402B7D:250", "1460,80"), eq(&parsed), "hex in any case");
}

#[gtest]
fn missing_counts_are_derived_from_the_segments() {
    let nothing = Prompt::from_headers("", None, None);
    expect_that!(nothing, eq(&Prompt::default()));
    expect_that!(nothing.affinity_key(), none());
    let listed = Prompt::from_headers("m", Some("a:30,b:12"), None);
    expect_that!((listed.tokens, listed.max_output_tokens), eq((42, 0)));
    let counted = Prompt::from_headers("m", None, Some("99"));
    expect_that!((counted.segments.len(), counted.tokens, counted.max_output_tokens), eq((0, 99, 0)));
    expect_that!(prompt("a:30", "1,2").affinity_key(), none(), "the only segment is the request's own");
    expect_that!(prompt("a:30,b:12", "x,7").tokens, eq(42));
    expect_that!(prompt("a:30,b:12", "x,7").max_output_tokens, eq(7));
}

#[gtest]
fn segments_of_different_models_have_different_ids() {
    let (one, other) =
        (Prompt::from_headers("m", Some("a:3"), None), Prompt::from_headers("n", Some("a:3"), None));
    expect_that!(one.segments[0].id, not(eq(other.segments[0].id)));
    expect_that!(one, eq(&Prompt::from_headers("m", Some("a:3"), None)));
}

#[gtest]
fn malformed_segments_and_counts_are_left_out() {
    let text = ",,a:,:5,xyz:5,a:-1,a:1.5,a:5:6,a,::,a:99999999999,ffffffffffffffffff:1,\u{fc}:1";
    expect_that!(prompt(text, "").segments, is_empty());
    expect_that!(segment_tokens(&prompt(&format!("{text},a:7,{text}"), "")), elements_are![eq(&7)]);
    for counts in ["", ",", "-1,-1", "x", "1.5,2.5", "99999999999,99999999999", ",,,,"] {
        let parsed = prompt("a:7", counts);
        expect_that!((parsed.tokens, parsed.max_output_tokens), eq((7, 0)), "{counts}");
    }
    expect_that!(prompt("", "1,2,3,4").max_output_tokens, eq(2));
}
