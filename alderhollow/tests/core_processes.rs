//! Doors as processes: what restarts, planned ends, lost disks and SIGHUP leave of the core.

mod process_support;

use process_support::run;

const OK: u16 = 200;

#[test]
fn a_configuration_outlives_the_kill_of_all_doors() {
    run(|mut tier| async move {
        tier.found().await;
        assert_eq!(tier.put_config(1, 4).await, OK);
        for door in 1..=3 {
            tier.kill(door);
        }
        for door in 1..=3 {
            tier.start(door, true, false);
        }
        assert_eq!(tier.config_version().await, Some(4));
        assert_eq!(tier.put_config(4, 7).await, OK);
    });
}

#[test]
fn a_primary_that_is_told_to_end_hands_over_and_ends_in_time() {
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
fn a_new_disk_is_taken_in_and_counts_as_the_one_that_was_lost() {
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
fn a_door_reads_its_settings_again_at_sighup_and_goes_on() {
    run(|mut tier| async move {
        tier.found().await;
        tier.start(4, false, false);
        assert_eq!(tier.config_version().await, Some(1));
        for door in 1..=4 {
            tier.until_ready(door).await;
            tier.hang_up(door);
            tier.until_logged(door, "the settings are read again").await;
        }
        assert_eq!(tier.put_config(1, 2).await, OK);
        assert!((1..=4).all(|door| !tier.has_ended(door)));
    });
}

#[test]
fn seeds_that_turned_over_to_doors_without_a_disk_learn_of_the_core_after_all_were_killed() {
    run(|mut tier| async move {
        tier.found().await;
        for door in 4..=6 {
            tier.start(door, false, false);
        }
        assert_eq!(tier.put_config(1, 4).await, OK);
        for door in 1..=6 {
            tier.kill(door);
        }
        tier.name_seeds([4, 5, 6]);
        for door in 1..=6 {
            tier.start(door, door <= 3, false);
        }
        for door in 1..=6 {
            tier.until_ready(door).await;
        }
        assert_eq!(tier.config_version().await, Some(4));
    });
}
