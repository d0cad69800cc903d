//! The regions whose routers the directory may give to clients of a partitioned region.

use googletest::prelude::*;
use ivyhatch_control::watch::home_regions::HomeRegions;
use ivyhatch_protocol::configuration::Document;

fn home_regions(routes: &[&str]) -> HomeRegions {
    let route = |(index, homes): (usize, &&str)| {
        format!(
            r#"{{"name":"r{index}","host":"h.example","path_prefix":"/{index}/","route_kind":"safe","timeout_ms":1000,"service":"s","home_regions":{homes}}}"#
        )
    };
    let routes: Vec<String> = routes.iter().enumerate().map(route).collect();
    let json = format!(r#"{{"revision":1,"routes":[{}],"services":[{{"name":"s"}}]}}"#, routes.join(","));
    let mut regions = HomeRegions::default();
    regions.update(1, &Document::parse(json.as_bytes()).expect("a configuration"));
    regions
}

fn common(routes: &[&str], region: &str) -> Vec<String> {
    home_regions(routes).homes_common_to_routes_excluding(region).into_iter().collect()
}

#[gtest]
fn region_that_no_route_excludes_has_no_common_homes() {
    expect_that!(common(&["[]", r#"["east","west"]"#], "east"), is_empty());
    expect_that!(common(&[], "east"), is_empty());
}

#[gtest]
fn excluded_region_has_the_homes_of_the_routes_that_exclude_it() {
    expect_that!(common(&["[]", r#"["east","west"]"#], "north"), elements_are![eq("east"), eq("west")]);
}

#[gtest]
fn only_regions_that_are_home_to_every_excluding_route_count() {
    let routes = [r#"["east","west"]"#, r#"["west","south"]"#, r#"["north"]"#];
    expect_that!(common(&routes, "north"), elements_are![eq("west")]);
    expect_that!(common(&[r#"["east"]"#, r#"["west"]"#], "north"), is_empty());
}
