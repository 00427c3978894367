//! Tests of the settings of daemons and commands.

use filbertgrade::process::settings::{CommandFlags, CommandSettings, VmFlags, VmSettings};

/// Returns the value of a flag or variable that is set.
fn set(text: &str) -> Option<String> {
    Some(text.to_owned())
}

/// Guards against a daemon that starts with faulty settings, or reports only the
/// first fault.
#[test]
fn every_fault_of_the_settings_is_reported() {
    let flags = VmFlags {
        vm: set("VM 1"),
        address: set("0.0.0.0"),
        region: set("north"),
        store: set("store:6000"),
        caller_port: set("7081"),
        agent_peer_port: set("0"),
        agent_operator_port: set("70000"),
        ..VmFlags::default()
    };
    let error = VmSettings::resolve(flags, |_| None).unwrap_err();
    let faults = error.faults().join("\n");
    assert_eq!(error.faults().len(), 7, "{faults}");
    for fault in [
        "--vm: character 'V'",
        "--address: the VM's own address is needed",
        "--failure-domain or FILBERTGRADE_FAILURE_DOMAIN is required",
        "--store: \"store:6000\"",
        "--entry-peer-port: 7081 is also the port of --caller-port",
        "--agent-peer-port: 0 is not a port",
        "--agent-operator-port: \"70000\"",
    ] {
        assert!(faults.contains(fault), "{fault} is not in {faults}");
    }
}

/// Guards against commands that ignore environment variables.
#[test]
fn commands_read_settings_from_the_environment() {
    let env = |name: &str| match name {
        "FILBERTGRADE_STORE" => set("127.0.0.1:6000"),
        "FILBERTGRADE_WAIT_LIMIT_MS" => set("10"),
        _ => None,
    };
    let settings = CommandSettings::resolve(CommandFlags::default(), env).unwrap();
    assert_eq!(settings.store.port(), 6000);
    assert_eq!(settings.wait_limit.as_millis(), 10);
    assert_eq!(settings.agent_peer_port, 7082);
    let error = CommandSettings::resolve(CommandFlags::default(), |_| None).unwrap_err();
    assert_eq!(error.faults().len(), 1);
}
