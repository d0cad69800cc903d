//! All interleavings of one part among three nodes, to a stated depth.

use googletest::prelude::*;
use ivyhatch_world::search::{Core, Step, search};

#[gtest]
fn no_order_of_steps_breaks_a_part_of_three() {
    // One owner, another one to come, two proposals, one crash or lost disk.
    let seen = search(Core::led(3, 1, 1, 2, 1), 14, usize::MAX);
    println!("{} states to a depth of {}", seen.states, seen.depth);
    expect_that!(seen.broken, none());
    expect_that!(seen.depth, eq(14));
    expect_that!(seen.states, gt(10_000));
}

#[gtest]
fn no_order_of_steps_breaks_the_first_ownership() {
    let seen = search(Core::new(3, 1, 2, 1, 1), 10, usize::MAX);
    println!("{} states to a depth of {}", seen.states, seen.depth);
    expect_that!(seen.broken, none());
}

#[gtest]
fn a_vote_after_a_wipe_is_found_by_the_search() {
    let seen = search(Core::led(3, 1, 1, 1, 1).careless(), 14, usize::MAX);
    let (steps, text) = seen.broken.expect("it is found");
    println!("{text} after {steps:?}, {} states", seen.states);
}

/// The owner counts what a member said before it lost its disk, and that member is told anew by others than the owner.
fn counts_a_former_life(members: usize, tolerate: usize) -> Option<String> {
    let mut core = Core::led(members, tolerate, 1, 1, 1);
    // The place of the first message between these two.
    let on_its_way = |core: &Core, from: usize, to: usize| {
        core.messages()
            .iter()
            .position(|message| (message.0, message.1) == (from, to))
            .expect("it is on its way")
    };
    let mut broken = Vec::new();
    broken.extend(core.take(Step::Propose(0)));
    broken.extend(core.take(Step::Sync(0)));
    broken.extend(core.take(Step::Deliver(on_its_way(&core, 0, 1))));
    broken.extend(core.take(Step::Sync(1)));
    broken.extend(core.take(Step::Deliver(on_its_way(&core, 1, 0))));
    broken.extend(core.take(Step::Wipe(1)));
    // The owner is the last to tell, if it is needed.
    for other in (2..members).chain([0]) {
        if core.steps().contains(&Step::Recall(1, other)) {
            broken.extend(core.take(Step::Recall(1, other)));
        }
    }
    if members > 3 {
        broken.extend(core.take(Step::Deliver(on_its_way(&core, 0, 2))));
        broken.extend(core.take(Step::Sync(2)));
        broken.extend(core.take(Step::Deliver(on_its_way(&core, 2, 0))));
    }
    broken.extend(core.take(Step::Lead(1)));
    broken.extend(core.take(Step::Sync(1)));
    let others: Vec<usize> = if members > 3 { vec![3, 4] } else { vec![2] };
    for other in others {
        broken.extend(core.take(Step::Deliver(on_its_way(&core, 1, other))));
        broken.extend(core.take(Step::Sync(other)));
        broken.extend(core.take(Step::Deliver(on_its_way(&core, other, 1))));
    }
    broken.into_iter().next()
}

#[gtest]
fn in_a_group_of_three_nothing_of_a_former_life_counts() {
    expect_that!(counts_a_former_life(3, 1), none());
}

#[gtest]
fn in_a_group_of_five_nothing_of_a_former_life_counts() {
    expect_that!(counts_a_former_life(5, 1), none());
}
