//! Parsing of the load header of a model server, well formed and malformed.

use googletest::prelude::*;
use ivyhatch_routing::load_report::LoadReport;

#[gtest]
fn load_header_is_parsed_and_malformed_ones_are_none() {
    let load = LoadReport { running: 3.0, waiting: 1.0, slots: 8.0 };
    expect_that!(LoadReport::from_header("3,1,8"), some(eq(load)));
    expect_that!(LoadReport::from_header(" 3 , 1 , 8 "), some(eq(load)));
    expect_that!(load.utilisation(), near(0.5, 1e-9));
    for text in ["", "3", "3,1", "3,1,0", "-3,1,8", "3,-1,8", "a,b,c", "3;1;8", ",,", "NaN,1,8", "1,1,NaN"] {
        expect_that!(LoadReport::from_header(text), none(), "{text}");
    }
}

#[gtest]
fn infinite_load_is_rejected() {
    for text in ["inf,0,8", "0,inf,8", "0,0,inf", "1e999,0,8"] {
        expect_that!(LoadReport::from_header(text), none(), "{text}");
    }
}
