//! `key` against the platform stand-in and real processes.

use crate::fleet::Fleet;
use crate::run;

/// Guards against secrets in the store, keys for teams that do not exist, and
/// keys that are lost with the store's answer.
#[tokio::test(flavor = "multi_thread")]
async fn create_stores_a_digest_only_and_survives_a_lost_answer() {
    let fleet = Fleet::start(0).await;
    let ran = run(&fleet, &["key", "create", "atelier"]).await;
    assert_eq!(ran.code, 5, "{ran:?}");
    fleet.apply().await;
    let ran = run(&fleet, &["key", "create", "nobody"]).await;
    assert_eq!(ran.code, 5, "{ran:?}");
    assert!(ran.err.contains("teams are atelier, outfitter"), "{ran:?}");
    assert!(fleet.platform.names("keys/").is_empty());

    fleet.platform.drop_next_responses(1);
    let ran = run(&fleet, &["key", "create", "atelier"]).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    let secret = ran.out.trim().rsplit('_').next().unwrap();
    let names = fleet.platform.names("keys/");
    assert_eq!(names.len(), 1);
    let (_, value) = fleet.platform.get(&names[0]).unwrap();
    assert!(!String::from_utf8(value.to_vec()).unwrap().contains(secret));

    let list = run(&fleet, &["key", "list"]).await;
    let id = names[0].trim_start_matches("keys/");
    assert_eq!(list.out, format!("{id} team=atelier state=granted\n"));
}

/// Guards against a withdrawal that is reported as accepted while a region
/// may still honour the key.
#[tokio::test(flavor = "multi_thread")]
async fn withdraw_is_accepted_only_when_every_region_confirms() {
    let mut fleet = Fleet::start(3).await;
    fleet.apply().await;
    let (first, second) = (
        fleet.create_key("atelier").await,
        fleet.create_key("outfitter").await,
    );
    let id = |secret: &str| secret.split('_').nth(1).unwrap().to_owned();
    let (first, second) = (id(&first), id(&second));
    fleet.platform.drop_next_responses(1);
    let ran = run(&fleet, &["key", "withdraw", &first]).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(ran.out.starts_with("accepted: "), "{ran:?}");

    // vm-2 is the only VM of its region.
    let _ = fleet.vms[1].agent.kill();
    let args = ["key", "--wait-limit-ms", "1500", "withdraw", &second];
    let ran = run(&fleet, &args).await;
    assert_eq!(ran.code, 8, "{ran:?}");
    let error = "written, not confirmed; waiting for region south";
    assert!(ran.err.contains(error), "{ran:?}");
    let (_, value) = fleet.platform.get(&format!("keys/{second}")).unwrap();
    assert!(
        String::from_utf8(value.to_vec())
            .unwrap()
            .contains("withdrawn")
    );

    // One VM of the other region is enough for it.
    fleet.platform.delete_vm("vm-2");
    let _ = fleet.vms[2].agent.kill();
    let ran = run(&fleet, &args).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    let ran = run(&fleet, &["key", "withdraw", "../config/root"]).await;
    assert_eq!(ran.code, 5, "{ran:?}");
    fleet.platform.set_down(true);
    let ran = run(&fleet, &["key", "withdraw", &first]).await;
    assert_eq!(ran.code, 6, "{ran:?}");
}
