//! `apply` and `diff` against the platform stand-in and real processes.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::{File, run};

fn root(fleet: &Fleet) -> serde_json::Value {
    let (_, value) = fleet.platform.get("config/root").unwrap();
    serde_json::from_slice(&value).unwrap()
}

/// Guards against two operators of whom each believes to have won, and
/// against a mixture of both files.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_wins_and_the_other_learns_the_version() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    let files: Vec<File> = (5..9)
        .map(|slots| {
            let slots = format!("slots = {slots}");
            File::new(&fleet.config().replace("slots = 4", &slots))
        })
        .collect();
    // Every call takes long enough for all operators to read the same root.
    fleet.platform.set_delay(Duration::from_millis(300));
    let runs = files
        .iter()
        .map(async |file| run(&fleet, &["apply", file.path()]).await);
    let ran = futures::future::join_all(runs).await;
    fleet.platform.set_delay(Duration::ZERO);

    let winners: Vec<usize> = (0..4).filter(|n| ran[*n].code == 0).collect();
    assert_eq!(winners.len(), 1, "{ran:?}");
    assert_eq!(ran[winners[0]].out, "accepted as version 2\n");
    for loser in (0..4).filter(|n| *n != winners[0]) {
        assert_eq!(ran[loser].code, 4, "{ran:?}");
        assert!(ran[loser].err.contains("version 2 was accepted first"));
    }
    let diff = run(&fleet, &["diff", files[winners[0]].path()]).await;
    assert_eq!(diff.out, "no differences from version 2\n");
}

/// Guards against an apply that is reported as failed although it took effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_resolved_by_the_apply_id() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    let file = File::new(&fleet.config().replace("slots = 4", "slots = 5"));
    // Four answers: one for the changed part, its repetition included, and
    // more than one for the root.
    fleet.platform.drop_next_responses(4);
    let ran = run(&fleet, &["apply", file.path()]).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(
        ran.out
            .contains("accepted as version 2; the store's answer was lost")
    );
    assert_eq!(root(&fleet)["version"], 2);
    fleet.platform.drop_next_responses(0);
}

/// Guards against a false conflict when the root was replaced between the
/// write and the read that looks for its outcome.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_resolved_after_a_later_apply_replaced_the_root() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    // The part's text is in the store already, so only the root is written.
    let first = fleet.config();
    let second = first.replace("slots = 4", "slots = 5");
    let (first, second) = (File::new(&first), File::new(&second));
    assert_eq!(run(&fleet, &["apply", second.path()]).await.code, 0);
    fleet.platform.set_delay(Duration::from_millis(150));
    let store = &fleet.platform;
    store.drop_next_responses(u64::MAX);
    let revision = store.revision();
    let replace = async {
        while store.revision() < revision + 1 || root(&fleet)["version"] != 3 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // Another operator's apply, which keeps the ids before it.
        let mut next = root(&fleet);
        next["version"] = 4.into();
        next["apply_id"] = "another".into();
        store.put("config/root", serde_json::to_vec(&next).unwrap());
        store.drop_next_responses(0);
    };
    let args = ["apply", first.path()];
    let (ran, ()) = tokio::join!(run(&fleet, &args), replace);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(ran.out.contains("accepted as version 3"), "{ran:?}");
    assert!(
        ran.out.contains("version 4 has replaced it since"),
        "{ran:?}"
    );
}

/// Guards against a root that grows with every apply.
#[tokio::test(flavor = "multi_thread")]
async fn the_root_names_the_last_sixteen_applies() {
    let fleet = Fleet::start(0).await;
    for slots in 1..=18 {
        let slots = format!("slots = {slots}");
        let file = File::new(&fleet.config().replace("slots = 4", &slots));
        assert_eq!(run(&fleet, &["apply", file.path()]).await.code, 0);
    }
    let root = root(&fleet);
    let recent = root["recent"].as_array().unwrap();
    assert_eq!(recent.len(), 16);
    assert_eq!(recent[15]["apply_id"], root["apply_id"]);
    assert_eq!(recent[0]["version"], 3);
}

/// Guards against an outage that is reported as an unknown outcome or as a
/// success, and against writes without need.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_unchanged_and_refused_files_write_nothing() {
    let fleet = Fleet::start(2).await;
    let file = File::new(&fleet.config());
    fleet.platform.set_down(true);
    let ran = run(&fleet, &["apply", file.path()]).await;
    assert_eq!(ran.code, 6, "{ran:?}");
    assert!(ran.err.contains("nothing took effect"));
    fleet.platform.set_down(false);
    fleet.apply().await;

    let writes = fleet.platform.counts().writes;
    let ran = run(&fleet, &["apply", file.path()]).await;
    assert_eq!(
        (ran.code, ran.out.as_str()),
        (0, "unchanged: version 1 has this content\n")
    );

    let faulty = File::new(&fleet.config().replace("slots = 4", "slots = 0"));
    let ran = run(&fleet, &["apply", faulty.path()]).await;
    assert_eq!(ran.code, 3, "{ran:?}");
    assert_eq!(ran.err.matches("slots: is 0").count(), 2, "{ran:?}");

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
    let other = File::new(&other);
    let ran = run(&fleet, &["apply", other.path()]).await;
    assert_eq!(ran.code, 5, "{ran:?}");
    assert!(
        ran.err
            .contains("the store belongs to test, the file to other")
    );
    assert!(ran.err.contains("north-a removed while VM vm-1 is live"));
    assert!(
        ran.err
            .contains("teams.outfitter: removed while its keys are granted")
    );
    assert_eq!(fleet.platform.counts().writes, writes);
}

/// Guards against a wait that ends before the version is in force, or that
/// does not say which VM is missing.
#[tokio::test(flavor = "multi_thread")]
async fn wait_returns_when_every_live_vm_has_the_version_and_names_the_others() {
    let mut fleet = Fleet::start(3).await;
    let whole = fleet.config();
    let (first, second) = whole.split_once("[teams.atelier]").unwrap();
    let first = File::new(first);
    let second = File::new(&format!("[teams.atelier]{second}"));
    let ran = run(&fleet, &["apply", "--wait", first.path(), second.path()]).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(
        ran.out.ends_with("version 1 is in force on 3 VMs\n"),
        "{ran:?}"
    );

    // The agent still answers; only its entry is gone.
    let _ = fleet.vms[1].entry.kill();
    let next = File::new(&whole.replace("slots = 4", "slots = 5"));
    let args = ["apply", "--wait", "--wait-limit-ms", "3000", next.path()];
    let ran = run(&fleet, &args).await;
    assert_eq!(ran.code, 8, "{ran:?}");
    assert!(ran.err.contains("waiting for vm-2\n"), "{ran:?}");

    let status = run(&fleet, &["status"]).await;
    assert_eq!(status.code, 0, "{status:?}");
    let row = |vm: &str| -> Vec<String> {
        let line = status
            .out
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
            .out
            .lines()
            .any(|l| l.starts_with("vm-3") && l.ends_with("no"))
    );
}

/// Guards against parts of former configurations that pile up in the memory
/// of every agent, and against a part removed that another apply relies on.
#[tokio::test(flavor = "multi_thread")]
async fn parts_that_no_root_names_are_removed() {
    let fleet = Fleet::start(0).await;
    fleet.platform.put("config/part/left-by-a-loser", "x");
    let texts: Vec<File> = [4, 5, 6, 5]
        .iter()
        .map(|slots| {
            File::new(
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

    // Applies that alternate while others clean up never lose a part.
    for _ in 0..5 {
        let runs = texts
            .iter()
            .map(async |file| run(&fleet, &["apply", file.path()]).await);
        futures::future::join_all(runs).await;
        let held = fleet.platform.names("config/part/");
        let named = parts(root(&fleet));
        assert!(named.iter().all(|part| held.contains(part)), "{held:?}");
    }
}

/// Guards against a winner that is read from a replica that lags.
#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_names_the_winner_although_reads_lag() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    let file = |slots: u8| {
        let slots = format!("slots = {slots}");
        File::new(&fleet.config().replace("slots = 4", &slots))
    };
    let (second, third) = (file(5), file(6));
    assert_eq!(run(&fleet, &["apply", second.path()]).await.code, 0);
    // Reads show version 1; they catch up while the loser looks for the winner.
    let (root_revision, _) = fleet.platform.get("config/root").unwrap();
    let behind = fleet.platform.revision() - root_revision + 1;
    fleet.platform.set_stale_reads(behind);
    let args = ["apply", third.path()];
    let catch_up = async {
        tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
        fleet.platform.set_stale_reads(0);
    };
    let (ran, ()) = tokio::join!(run(&fleet, &args), catch_up);
    assert_eq!(ran.code, 4, "{ran:?}");
    assert!(ran.err.contains("version 2 was accepted first"), "{ran:?}");
}
