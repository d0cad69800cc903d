//! One part, as its owner sees it while another owner has come and gone.

use googletest::prelude::*;
use ivyhatch_control::register::{Effect, Register};
use ivyhatch_protocol::ids::{Epoch, NodeId};
use ivyhatch_protocol::peer::{Accepted, Deciding, Kept};

const MEMBERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn promise(epoch: Epoch) -> Deciding {
    Deciding::Promise { epoch, accepted: None }
}

#[gtest]
fn an_owner_whose_proposal_another_has_decided_stands_back() {
    let mut register = Register::new(NodeId(1), 11, Kept::default());
    register.set_members(&MEMBERS);
    let mut out = Vec::new();
    register.lead(0, &mut out);
    let epoch = Epoch { counter: 1, node: NodeId(1), life: 11 };
    register.handle(0, NodeId(2), promise(epoch), true, &mut out);
    register.handle(0, NodeId(3), promise(epoch), true, &mut out);
    register.propose(0, vec![7], &mut out);
    register.handle(0, NodeId(2), Deciding::Done { epoch, sequence: 1 }, true, &mut out);
    // Another owner found the proposal at the second member, and had it decided under its own epoch.
    let higher = Epoch { counter: 2, node: NodeId(3), life: 33 };
    let decided = Accepted { epoch: higher, sequence: 1, value: vec![7] };
    out.clear();
    register.handle(0, NodeId(2), Deciding::Committed(decided.clone()), true, &mut out);
    expect_that!(out, elements_are![eq(&Effect::Deposed), eq(&Effect::Decided(decided))]);
    expect_that!(register.is_owner(), eq(false));
    out.clear();
    // Its next epoch is above the one that it has heard of.
    register.lead(0, &mut out);
    let above =
        |effect: &Effect| matches!(effect, Effect::Send(_, Deciding::Prepare { epoch }) if *epoch > higher);
    expect_that!(out.iter().all(above), eq(true));
}

#[gtest]
fn an_owner_goes_on_when_it_hears_of_older_decisions() {
    let mut register = Register::new(NodeId(3), 33, Kept::default());
    register.set_members(&MEMBERS);
    let mut out = Vec::new();
    register.lead(0, &mut out);
    let epoch = Epoch { counter: 1, node: NodeId(3), life: 33 };
    register.handle(0, NodeId(1), promise(epoch), true, &mut out);
    register.handle(0, NodeId(2), promise(epoch), true, &mut out);
    let lower = Epoch { counter: 1, node: NodeId(1), life: 11 };
    let decided = Accepted { epoch: lower, sequence: 1, value: vec![7] };
    out.clear();
    register.handle(0, NodeId(2), Deciding::Committed(decided.clone()), true, &mut out);
    expect_that!(out, elements_are![eq(&Effect::Decided(decided))]);
    expect_that!(register.leads(), some(eq(epoch)));
}
