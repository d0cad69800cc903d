use std::collections::BTreeMap;
use std::path::Path;

use ivyhatch_config::InstanceSettings;

use super::SupervisedInstance;
use crate::lifecycle::{DesiredState, Input, LifecycleSettings, Nanos};

const SECOND: Nanos = 1_000_000_000;

fn instance() -> SupervisedInstance {
    let config = InstanceSettings {
        name: "n-1".to_owned(),
        zone: "a".to_owned(),
        listen: ([127, 0, 0, 1], 0).into(),
        discovery: None,
        sockets: None,
        memory_mb: None,
        labels: BTreeMap::new(),
        enabled: true,
    };
    let settings = LifecycleSettings {
        ready_timeout: SECOND,
        drain_timeout: SECOND,
        stop_timeout: SECOND,
        silence_timeout: SECOND,
        initial_backoff: SECOND,
        max_backoff: SECOND,
        crash_loop_threshold: 3,
        crash_loop_window: SECOND,
    };
    SupervisedInstance::new(config, Path::new("state"), settings, DesiredState::Running, 1)
}

/// Guards against a status that still shows the old desired state while the supervisor waits for a response of the node: the client
/// that has sent the command would take the old state for a conflicting command.
#[test]
fn status_shows_an_accepted_command_before_the_state_machine_handles_it() {
    let instance = instance();
    assert_eq!(instance.status(0).desired_state, DesiredState::Running);
    instance.add_input(Input::DesiredStateSet(DesiredState::Stopped));
    assert_eq!(instance.status(0).desired_state, DesiredState::Stopped);
    instance.add_input(Input::RestartRequested);
    assert_eq!(instance.status(0).desired_state, DesiredState::Stopped, "a restart asks for no other state");
}
