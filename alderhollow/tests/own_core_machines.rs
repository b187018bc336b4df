//! A dedicated core: processes with the role `core`, and diskless gateways. Founding, growth, replacement, kills and lost
//! disks.

mod process_support;

use alderhollow::status::message::CoreRole;
use process_support::{run, ReadAnswer, Tier};

const OK: u16 = 200;

/// Starts the core's machines 4 to `last` and waits until they are members.
async fn grow(tier: &mut Tier, last: u8) {
    for machine in 4..=last {
        tier.start_core(machine, true);
    }
    for machine in 4..=last {
        tier.until_member(machine).await;
    }
}

#[test]
fn diskless_gateways_redirect_operators_to_a_dedicated_core_and_become_ready() {
    run(|mut tier| async move {
        for gateway in 7..=8 {
            tier.start(gateway, false, true);
        }
        tier.found_on_own_machines().await;
        for gateway in 7..=8 {
            tier.until_ready(gateway).await;
            assert_eq!(tier.config_version_at(gateway).await, Some(1));
            assert_eq!(
                tier.begin_read(gateway).await.expect("a read"),
                ReadAnswer::NotSure(307)
            );
        }
        assert_eq!(tier.put_config(1, 2).await, OK);
    });
}

#[test]
fn core_processes_are_not_counted_as_senders() {
    run(|mut tier| async move {
        tier.found_on_own_machines().await;
        tier.start(7, false, true);
        tier.until_ready(7).await;
        while tier.status(7).await.tables.senders == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(tier.status(7).await.tables.senders, 1, "the door alone");
        let primary = tier.primary().await;
        let status = tier.status(primary).await;
        assert_eq!(status.core.expect("a member").role, CoreRole::Primary);
    });
}

#[test]
fn a_grown_core_retains_its_configuration_after_a_kill_of_all_its_processes() {
    run(|mut tier| async move {
        tier.found_on_own_machines().await;
        grow(&mut tier, 5).await;
        assert_eq!(tier.put_config(1, 6).await, OK);
        for machine in 1..=5 {
            tier.kill(machine);
        }
        for machine in 1..=5 {
            tier.start_core(machine, false);
        }
        assert_eq!(tier.config_version().await, Some(6));
    });
}

#[test]
fn a_replacement_machine_becomes_a_voting_member() {
    run(|mut tier| async move {
        tier.found_on_own_machines().await;
        grow(&mut tier, 4).await;
        let primary = tier.primary().await;
        let gone = 1 + primary % 3;
        tier.kill(gone);
        tier.wipe(gone);
        assert_eq!(tier.put_config(1, 2).await, OK);
        tier.start_core(5, false);
        tier.until_member(5).await;
        tier.kill(primary);
        assert_eq!(tier.config_version().await, Some(2));
        assert_eq!(tier.put_config(2, 3).await, OK);
    });
}

#[test]
fn the_loss_of_one_disk_while_all_others_are_killed_loses_no_state() {
    run(|mut tier| async move {
        tier.found_on_own_machines().await;
        grow(&mut tier, 5).await;
        let primary = tier.primary().await;
        assert_eq!(tier.put_config(1, 2).await, OK);
        for machine in 1..=5 {
            tier.kill(machine);
        }
        tier.wipe(primary);
        for machine in 1..=5 {
            tier.start_core(machine, false);
        }
        assert_eq!(tier.config_version().await, Some(2));
        tier.until_member(primary).await;
        assert_eq!(tier.put_config(2, 4).await, OK);
    });
}

#[test]
fn a_primary_hands_over_on_sigterm_and_exits_in_time() {
    run(|mut tier| async move {
        tier.found_on_own_machines().await;
        let former = tier.primary().await;
        assert!(
            tier.stop(former).await,
            "the primary ends by itself, without an error"
        );
        assert_ne!(tier.primary().await, former);
        assert_eq!(tier.put_config(1, 3).await, OK);
    });
}

#[test]
fn the_disk_of_a_gateway_does_not_join_a_dedicated_core() {
    run(|mut tier| async move {
        tier.start(7, true, true);
        tier.found_on_own_machines().await;
        tier.until_ready(7).await;
        tier.start_core(4, true);
        tier.until_member(4).await;
        let gateway = tier.status(7).await;
        assert_eq!(gateway.core.expect("it has a disk").role, CoreRole::Outside);
        assert_eq!(tier.config_version_at(7).await, Some(1));
    });
}

#[test]
fn a_deployment_whose_seeds_cannot_found_the_core_logs_an_error() {
    run(|mut tier| async move {
        for gateway in 1..=4 {
            tier.start(gateway, false, true);
        }
        for gateway in 1..=4 {
            tier.until_logged(gateway, "no seed can found the core")
                .await;
        }
    });
}
