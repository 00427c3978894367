//! Tests of the command `key`, with a stand-in for the platform and with real
//! processes.

use crate::fleet::Fleet;
use crate::run;

/// Guards against secrets in the store, keys for teams that do not exist, and keys
/// that are never shown because the store's response is lost.
#[tokio::test(flavor = "multi_thread")]
async fn create_stores_only_a_digest_and_succeeds_after_a_lost_store_response() {
    let fleet = Fleet::start(0).await;
    let output = run(&fleet, &["key", "create", "atelier"]).await;
    assert_eq!(output.code, 5, "{output:?}");
    fleet.apply().await;
    let output = run(&fleet, &["key", "create", "nobody"]).await;
    assert_eq!(output.code, 5, "{output:?}");
    assert!(
        output.stderr.contains("teams are atelier, outfitter"),
        "{output:?}"
    );
    assert!(fleet.platform.names("keys/").is_empty());

    fleet.platform.drop_next_responses(1);
    let output = run(&fleet, &["key", "create", "atelier"]).await;
    assert_eq!(output.code, 0, "{output:?}");
    let secret = output.stdout.trim().rsplit('_').next().unwrap();
    let names = fleet.platform.names("keys/");
    assert_eq!(names.len(), 1);
    let (_, value) = fleet.platform.get(&names[0]).unwrap();
    assert!(!String::from_utf8(value.to_vec()).unwrap().contains(secret));

    let list = run(&fleet, &["key", "list"]).await;
    let id = names[0].trim_start_matches("keys/");
    assert_eq!(list.stdout, format!("{id} team=atelier state=granted\n"));
}

/// Guards against a withdrawal that is reported as accepted while a region may
/// still accept the key.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_is_accepted_only_when_every_region_has_confirmed_it() {
    let mut fleet = Fleet::start(3).await;
    fleet.apply().await;
    let (first, second) = (
        fleet.create_key("atelier").await,
        fleet.create_key("outfitter").await,
    );
    let id = |secret: &str| secret.split('_').nth(1).unwrap().to_owned();
    let (first, second) = (id(&first), id(&second));
    fleet.platform.drop_next_responses(1);
    let output = run(&fleet, &["key", "withdraw", &first]).await;
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.stdout.starts_with("accepted: "), "{output:?}");

    // vm-2 is the only VM of its region.
    let _ = fleet.vms[1].agent.kill();
    let args = ["key", "--wait-limit-ms", "1500", "withdraw", &second];
    let output = run(&fleet, &args).await;
    assert_eq!(output.code, 8, "{output:?}");
    let error = "written, not confirmed; waiting for region south";
    assert!(output.stderr.contains(error), "{output:?}");
    let (_, value) = fleet.platform.get(&format!("keys/{second}")).unwrap();
    assert!(
        String::from_utf8(value.to_vec())
            .unwrap()
            .contains("withdrawn")
    );

    // For the other region, the confirmation of one of its VMs is enough.
    fleet.platform.delete_vm("vm-2");
    let _ = fleet.vms[2].agent.kill();
    let output = run(&fleet, &args).await;
    assert_eq!(output.code, 0, "{output:?}");
    let output = run(&fleet, &["key", "withdraw", "../config/root"]).await;
    assert_eq!(output.code, 5, "{output:?}");
    fleet.platform.set_down(true);
    let output = run(&fleet, &["key", "withdraw", &first]).await;
    assert_eq!(output.code, 6, "{output:?}");
}
