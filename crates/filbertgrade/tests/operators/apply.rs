//! Tests of the commands `apply` and `diff`, with a stand-in for the platform and
//! with real processes.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::{TempConfig, run};

/// Returns the stored root of the configuration.
fn root(fleet: &Fleet) -> serde_json::Value {
    let (_, value) = fleet.platform.get("config/root").unwrap();
    serde_json::from_slice(&value).unwrap()
}

/// Guards against concurrent applies that are all reported as accepted, and against
/// a stored configuration that mixes several files.
#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_applies_one_is_accepted_and_the_others_report_its_version() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    let files: Vec<TempConfig> = (5..9)
        .map(|slots| {
            let slots = format!("slots = {slots}");
            TempConfig::new(&fleet.config().replace("slots = 4", &slots))
        })
        .collect();
    // Each call takes so long that all operators read the same root before one
    // of them writes.
    fleet.platform.set_delay(Duration::from_millis(300));
    let runs = files
        .iter()
        .map(async |file| run(&fleet, &["apply", file.path()]).await);
    let outputs = futures::future::join_all(runs).await;
    fleet.platform.set_delay(Duration::ZERO);

    let accepted: Vec<usize> = (0..4).filter(|n| outputs[*n].code == 0).collect();
    assert_eq!(accepted.len(), 1, "{outputs:?}");
    assert_eq!(outputs[accepted[0]].stdout, "accepted as version 2\n");
    for rejected in (0..4).filter(|n| *n != accepted[0]) {
        assert_eq!(outputs[rejected].code, 4, "{outputs:?}");
        assert!(
            outputs[rejected]
                .stderr
                .contains("version 2 was accepted first")
        );
    }
    let diff = run(&fleet, &["diff", files[accepted[0]].path()]).await;
    assert_eq!(diff.stdout, "no differences from version 2\n");
}

/// Guards against an apply that is reported as failed although it took effect.
#[tokio::test(flavor = "multi_thread")]
async fn lost_store_response_is_resolved_by_the_apply_id() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    let file = TempConfig::new(&fleet.config().replace("slots = 4", "slots = 5"));
    // Loses four responses: those to the write of the changed part and its
    // retry, and more than one for the root.
    fleet.platform.drop_next_responses(4);
    let output = run(&fleet, &["apply", file.path()]).await;
    assert_eq!(output.code, 0, "{output:?}");
    assert!(
        output
            .stdout
            .contains("accepted as version 2; the store's answer was lost")
    );
    assert_eq!(root(&fleet)["version"], 2);
    fleet.platform.drop_next_responses(0);
}

/// Guards against a conflict that is reported wrongly when another apply replaces
/// the root between the write and the read that checks its outcome.
#[tokio::test(flavor = "multi_thread")]
async fn lost_store_response_is_resolved_after_another_apply_replaced_the_root() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    // The parts of the first text are already in the store, so only the root is
    // written.
    let first = fleet.config();
    let second = first.replace("slots = 4", "slots = 5");
    let (first, second) = (TempConfig::new(&first), TempConfig::new(&second));
    assert_eq!(run(&fleet, &["apply", second.path()]).await.code, 0);
    fleet.platform.set_delay(Duration::from_millis(150));
    let store = &fleet.platform;
    store.drop_next_responses(u64::MAX);
    let revision = store.revision();
    let replace = async {
        while store.revision() < revision + 1 || root(&fleet)["version"] != 3 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // Another operator's apply, which keeps the earlier apply ids.
        let mut next = root(&fleet);
        next["version"] = 4.into();
        next["apply_id"] = "another".into();
        store.put("config/root", serde_json::to_vec(&next).unwrap());
        store.drop_next_responses(0);
    };
    let args = ["apply", first.path()];
    let (output, ()) = tokio::join!(run(&fleet, &args), replace);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(
        output.stdout.contains("accepted as version 3"),
        "{output:?}"
    );
    assert!(
        output.stdout.contains("version 4 has replaced it since"),
        "{output:?}"
    );
}

/// Guards against a root that grows with every apply.
#[tokio::test(flavor = "multi_thread")]
async fn root_lists_only_the_last_sixteen_applies() {
    let fleet = Fleet::start(0).await;
    for slots in 1..=18 {
        let slots = format!("slots = {slots}");
        let file = TempConfig::new(&fleet.config().replace("slots = 4", &slots));
        assert_eq!(run(&fleet, &["apply", file.path()]).await.code, 0);
    }
    let root = root(&fleet);
    let recent = root["recent"].as_array().unwrap();
    assert_eq!(recent.len(), 16);
    assert_eq!(recent[15]["apply_id"], root["apply_id"]);
    assert_eq!(recent[0]["version"], 3);
}

/// Guards against an outage before any write that is reported as a success or an
/// unknown outcome, and against writes for files that change nothing or are
/// rejected.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_unchanged_and_rejected_files_write_nothing() {
    let fleet = Fleet::start(2).await;
    let file = TempConfig::new(&fleet.config());
    fleet.platform.set_down(true);
    let output = run(&fleet, &["apply", file.path()]).await;
    assert_eq!(output.code, 6, "{output:?}");
    assert!(output.stderr.contains("nothing took effect"));
    fleet.platform.set_down(false);
    fleet.apply().await;

    let writes = fleet.platform.counts().writes;
    let output = run(&fleet, &["apply", file.path()]).await;
    assert_eq!(
        (output.code, output.stdout.as_str()),
        (0, "unchanged: version 1 has this content\n")
    );

    let faulty = TempConfig::new(&fleet.config().replace("slots = 4", "slots = 0"));
    let output = run(&fleet, &["apply", faulty.path()]).await;
    assert_eq!(output.code, 3, "{output:?}");
    assert_eq!(
        output.stderr.matches("slots: is 0").count(),
        2,
        "{output:?}"
    );

    fleet.platform.put(
        "keys/0011",
        r#"{"team":"outfitter","digest":"00","state":"granted"}"#,
    );
    let other = fleet
        .config()
        .replace("\"test\"", "\"other\"")
        .replace("[\"north-a\"]", "[\"north-b\"]")
        .replace("north-a =", "north-b =")
        .replace("teams.outfitter", "teams.pattern-room");
    let other = TempConfig::new(&other);
    let output = run(&fleet, &["apply", other.path()]).await;
    assert_eq!(output.code, 5, "{output:?}");
    assert!(
        output
            .stderr
            .contains("the store belongs to test, the file to other")
    );
    assert!(
        output
            .stderr
            .contains("north-a removed while VM vm-1 is live")
    );
    assert!(
        output
            .stderr
            .contains("teams.outfitter: removed while its keys are granted")
    );
    assert_eq!(fleet.platform.counts().writes, writes);
}

/// Guards against `--wait` that ends before the version is in force on every VM, or
/// does not name the VMs that it still waits for.
#[tokio::test(flavor = "multi_thread")]
async fn wait_returns_when_every_live_vm_has_the_version_or_names_the_missing_vms() {
    let mut fleet = Fleet::start(3).await;
    let whole = fleet.config();
    let (first, second) = whole.split_once("[teams.atelier]").unwrap();
    let first = TempConfig::new(first);
    let second = TempConfig::new(&format!("[teams.atelier]{second}"));
    let output = run(&fleet, &["apply", "--wait", first.path(), second.path()]).await;
    assert_eq!(output.code, 0, "{output:?}");
    assert!(
        output.stdout.ends_with("version 1 is in force on 3 VMs\n"),
        "{output:?}"
    );

    // Only the entry is killed; the agent still responds.
    let _ = fleet.vms[1].entry.kill();
    let next = TempConfig::new(&whole.replace("slots = 4", "slots = 5"));
    let args = ["apply", "--wait", "--wait-limit-ms", "3000", next.path()];
    let output = run(&fleet, &args).await;
    assert_eq!(output.code, 8, "{output:?}");
    assert!(output.stderr.contains("waiting for vm-2\n"), "{output:?}");

    let status = run(&fleet, &["status"]).await;
    assert_eq!(status.code, 0, "{status:?}");
    let row = |vm: &str| -> Vec<String> {
        let line = status
            .stdout
            .lines()
            .find(|line| line.starts_with(vm))
            .unwrap();
        line.split_whitespace().map(str::to_owned).collect()
    };
    assert_eq!(row("vm-1")[6..], ["2", "yes"]);
    assert_eq!(row("vm-2")[5..], ["-", "-", "yes"]);
    let _ = fleet.vms[2].agent.kill();
    let status = run(&fleet, &["status"]).await;
    assert!(
        status
            .stdout
            .lines()
            .any(|l| l.starts_with("vm-3") && l.ends_with("no"))
    );
}

/// Guards against parts of earlier configurations that accumulate in the memory of
/// every agent, and against the removal of a part that another apply relies on.
#[tokio::test(flavor = "multi_thread")]
async fn parts_that_the_root_does_not_list_are_removed() {
    let fleet = Fleet::start(0).await;
    fleet
        .platform
        .put("config/part/left-by-a-rejected-apply", "x");
    let texts: Vec<TempConfig> = [4, 5, 6, 5]
        .iter()
        .map(|slots| {
            TempConfig::new(
                &fleet
                    .config()
                    .replace("slots = 4", &format!("slots = {slots}")),
            )
        })
        .collect();
    for text in &texts {
        assert_eq!(run(&fleet, &["apply", text.path()]).await.code, 0);
    }
    let parts = |root: serde_json::Value| -> Vec<String> {
        let parts = root["parts"].as_array().unwrap().iter();
        let mut parts: Vec<String> = parts
            .map(|part| format!("config/part/{}", part.as_str().unwrap()))
            .collect();
        parts.sort();
        parts
    };
    assert_eq!(fleet.platform.names("config/part/"), parts(root(&fleet)));

    // Concurrent applies, which also remove parts, never remove a part that the
    // root lists.
    for _ in 0..5 {
        let runs = texts
            .iter()
            .map(async |file| run(&fleet, &["apply", file.path()]).await);
        futures::future::join_all(runs).await;
        let stored = fleet.platform.names("config/part/");
        let listed = parts(root(&fleet));
        assert!(
            listed.iter().all(|part| stored.contains(part)),
            "{stored:?}"
        );
    }
}

/// Guards against a conflict that reports an outdated version, read from a lagging
/// replica, as the one that was accepted first.
#[tokio::test(flavor = "multi_thread")]
async fn conflict_reports_the_accepted_version_although_reads_are_stale() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    let file = |slots: u8| {
        let slots = format!("slots = {slots}");
        TempConfig::new(&fleet.config().replace("slots = 4", &slots))
    };
    let (second, third) = (file(5), file(6));
    assert_eq!(run(&fleet, &["apply", second.path()]).await.code, 0);
    // Reads return version 1 at first. They catch up while the rejected apply
    // reads which version was accepted.
    let (root_revision, _) = fleet.platform.get("config/root").unwrap();
    let behind = fleet.platform.revision() - root_revision + 1;
    fleet.platform.set_stale_reads(behind);
    let args = ["apply", third.path()];
    let catch_up = async {
        tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
        fleet.platform.set_stale_reads(0);
    };
    let (output, ()) = tokio::join!(run(&fleet, &args), catch_up);
    assert_eq!(output.code, 4, "{output:?}");
    assert!(
        output.stderr.contains("version 2 was accepted first"),
        "{output:?}"
    );
}
