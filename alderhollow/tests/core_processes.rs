//! The core with real gateway processes: restarts, graceful shutdown, lost disks, SIGHUP and suspended processes.

mod process_support;

use process_support::{run, ReadAnswer, Tier};
use std::time::Duration;

const OK: u16 = 200;
const SERVICE_UNAVAILABLE: u16 = 503;

#[test]
fn a_configuration_survives_a_kill_of_all_gateways() {
    run(|mut tier| async move {
        tier.found().await;
        assert_eq!(tier.put_config(1, 4).await, OK);
        for gateway in 1..=3 {
            tier.kill(gateway);
        }
        for gateway in 1..=3 {
            tier.start(gateway, true, false);
        }
        assert_eq!(tier.config_version().await, Some(4));
        assert_eq!(tier.put_config(4, 7).await, OK);
    });
}

#[test]
fn a_primary_hands_over_on_sigterm_and_exits_in_time() {
    run(|mut tier| async move {
        tier.found().await;
        let former = tier.primary().await;
        let stopped = tier.stop(former).await;
        assert!(stopped, "the primary ends by itself, without an error");
        assert_ne!(tier.primary().await, former);
        assert_eq!(tier.config_version().await, Some(1));
        assert_eq!(tier.put_config(1, 3).await, OK);
        tier.start(former, true, false);
        tier.until_ready(former).await;
        assert_eq!(tier.put_config(3, 9).await, OK);
    });
}

#[test]
fn a_new_disk_replaces_a_lost_one_as_member() {
    run(|mut tier| async move {
        tier.found().await;
        let primary = tier.primary().await;
        let lost = 1 + primary % 3;
        tier.kill(lost);
        tier.wipe(lost);
        assert_eq!(tier.put_config(1, 2).await, OK);
        tier.start(lost, true, false);
        tier.until_member(lost).await;
        tier.kill(primary);
        assert_eq!(tier.config_version().await, Some(2));
        assert_eq!(tier.put_config(2, 5).await, OK);
    });
}

#[test]
fn a_gateway_reloads_its_settings_on_sighup() {
    run(|mut tier| async move {
        tier.found().await;
        tier.start(4, false, false);
        assert_eq!(tier.config_version().await, Some(1));
        for gateway in 1..=4 {
            tier.until_ready(gateway).await;
            tier.hang_up(gateway);
            tier.until_logged(gateway, "the settings are read again")
                .await;
        }
        assert_eq!(tier.put_config(1, 2).await, OK);
        assert!((1..=4).all(|gateway| !tier.has_ended(gateway)));
    });
}

#[test]
fn diskless_seeds_learn_of_the_core_after_all_processes_were_killed() {
    run(|mut tier| async move {
        tier.found().await;
        for gateway in 4..=6 {
            tier.start(gateway, false, false);
        }
        assert_eq!(tier.put_config(1, 4).await, OK);
        for gateway in 1..=6 {
            tier.kill(gateway);
        }
        tier.name_seeds([4, 5, 6]);
        for gateway in 1..=6 {
            tier.start(gateway, gateway <= 3, false);
        }
        for gateway in 1..=6 {
            tier.until_ready(gateway).await;
        }
        assert_eq!(tier.config_version().await, Some(4));
    });
}

/// Number of reads that are pending when a gateway is resumed.
const READS: usize = 20;
/// Time after which a lease without renewal has expired.
const LEASE: Duration = Duration::from_millis(1_000);

/// Sends reads to a suspended gateway and more while it resumes; none may be answered with an older version.
async fn resume_without_an_older_answer(tier: &Tier, gateway: u8, newest: u64) {
    let mut reads: Vec<_> = (0..READS).map(|_| tier.begin_read(gateway)).collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    tier.resume(gateway);
    for _ in 0..READS {
        reads.push(tier.begin_read(gateway));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for read in reads {
        match read.await.expect("a read") {
            ReadAnswer::Version(version) => assert_eq!(version, newest),
            ReadAnswer::NotSure(status) => {
                assert!(matches!(status, 307 | SERVICE_UNAVAILABLE), "{status}");
            }
            ReadAnswer::Silence => {}
        }
    }
}

#[test]
fn a_suspended_primary_answers_no_older_configuration_when_resumed() {
    run(|mut tier| async move {
        tier.found().await;
        for version in 1..=3 {
            let former = tier.primary().await;
            tier.pause(former);
            assert_eq!(tier.put_config(version, version + 1).await, OK);
            resume_without_an_older_answer(&tier, former, version + 1).await;
            assert_eq!(tier.config_version().await, Some(version + 1));
        }
    });
}

#[test]
fn a_suspended_diskless_gateway_answers_no_older_configuration_when_resumed() {
    run(|mut tier| async move {
        tier.found().await;
        tier.start(4, false, false);
        tier.until_ready(4).await;
        tier.pause(4);
        assert_eq!(tier.put_config(1, 2).await, OK);
        resume_without_an_older_answer(&tier, 4, 2).await;
    });
}

#[test]
fn a_primary_with_an_expired_lease_answers_no_read_until_it_is_renewed() {
    run(|mut tier| async move {
        tier.found().await;
        let primary = tier.primary().await;
        let others: Vec<u8> = (1..=3).filter(|gateway| *gateway != primary).collect();
        others.iter().for_each(|gateway| tier.pause(*gateway));
        tokio::time::sleep(LEASE).await;
        for _ in 0..READS {
            let answer = tier.begin_read(primary).await.expect("a read");
            assert_eq!(answer, ReadAnswer::NotSure(SERVICE_UNAVAILABLE));
        }
        others.iter().for_each(|gateway| tier.resume(*gateway));
        assert_eq!(tier.config_version().await, Some(1));
        assert_eq!(tier.put_config(1, 2).await, OK);
    });
}
