//! A single group: jobs, their items and results, and their deletion.

use crate::batch_backend::{whole_text, Reply};
use serde_json::json;
use std::collections::BTreeMap;

use crate::tier::*;

#[test]
fn a_job_is_accepted_run_and_read_and_survives_a_change_of_primary() {
    run_in_local_set(async {
        let script = vec![Reply::CutAfter(20), Reply::NotExecuted, Reply::Status(500)];
        let tier = Tier::start(script, 0).await;
        assert_eq!(tier.submit(5).await, 202);
        assert_eq!(tier.submit(5).await, 202);
        let results = tier.results().await;
        assert_eq!(ids(&results), ["i0", "i1", "i2", "i3", "i4"]);
        for result in &results {
            assert_eq!(
                (&result["state"], &result["text"]),
                (&json!("completed"), &json!(whole_text()))
            );
        }
        assert_eq!(tier.status("GET", "/alderhollow/items/j1?id=i0").await, 404);
        assert_eq!(tier.status("GET", "/alderhollow/lots/other").await, 404);

        tier.stores[0].stop();
        tier.set_group(2, 1, &[1, 2]);
        assert_eq!(tier.results().await, results);
        assert_eq!(tier.submit(5).await, 202);
        assert_eq!(tier.status("DELETE", "/alderhollow/lots/j1").await, 200);
        assert_eq!(tier.status("DELETE", "/alderhollow/lots/j1").await, 200);
        assert_eq!(tier.results().await, results);
    });
}

#[test]
fn an_item_that_fails_at_every_attempt_or_permanently_is_a_dead_letter() {
    run_in_local_set(async {
        let tier = Tier::start(vec![Reply::Status(500); 3], 0).await;
        assert_eq!(tier.submit(1).await, 202);
        assert_eq!(
            tier.results().await,
            [json!({"id": "i0", "state": "dead_letter", "text": ""})]
        );
        assert_eq!(tier.backend.requests().len(), 3);

        let tier = Tier::start(vec![Reply::Status(422)], 0).await;
        assert_eq!(tier.submit(1).await, 202);
        assert_eq!(
            tier.results().await,
            [json!({"id": "i0", "state": "dead_letter", "text": ""})]
        );
        assert_eq!(tier.backend.requests().len(), 1);
    });
}

#[test]
fn deleting_a_job_cancels_its_runs_at_once() {
    run_in_local_set(async {
        let tier = Tier::start(vec![Reply::Silence, Reply::Silence], 0).await;
        assert_eq!(tier.submit(2).await, 202);
        tier.backend.until_requests(2).await;
        let body = tier.call("GET", "/alderhollow/items/j1?id=i1", 0).await;
        assert_eq!(
            (body.status().as_u16(), &body.body()[..]),
            (200, &b"body 1"[..])
        );
        assert_eq!(tier.status("DELETE", "/alderhollow/lots/j1").await, 200);
        tier.backend.until_closed(2).await;
        assert_eq!(tier.backend.requests().len(), 2);
    });
}

#[test]
fn a_job_over_quota_gets_429() {
    run_in_local_set(async {
        let tier = Tier::start(vec![], 250).await;
        assert_eq!(tier.submit(3).await, 429);
        assert_eq!(tier.backend.requests(), []);
        assert_eq!(tier.submit(2).await, 202);
    });
}

#[test]
fn an_outcome_left_unknown_by_a_silent_member_is_resolved_in_the_next_epoch() {
    run_in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        assert_eq!(tier.submit(1).await, 202);
        tier.results().await;
        tier.stores[2].stop();
        let response = tier.submit_job("j2", 1, 300).await;
        assert_eq!(response.status(), 504);
        assert!(!response.headers().contains_key("retry-after"));
        tier.set_group(2, 0, &[0, 1]);
        assert_eq!(tier.submit_job("j2", 1, 4_000).await.status(), 202);
    });
}

#[test]
fn jobs_survive_a_loss_of_power_of_all_stores() {
    run_in_local_set(async {
        let tier = Tier::start(vec![], 0).await;
        assert_eq!(tier.submit(4).await, 202);
        let results = tier.results().await;
        let disks = tier.lose_power();
        let tier = tier.restart_on(disks).await;
        tier.set_group(2, 2, &[0, 1, 2]);
        assert_eq!(tier.results().await, results);
    });
}

#[test]
fn a_store_without_validation_accepts_nothing_and_never_answers_404() {
    run_in_local_set(async {
        let tier = Tier::start_validated(vec![], 0, None).await;
        let response = tier.submit_job("j1", 1, 4_000).await;
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        for path in ["/alderhollow/lots/j1", "/alderhollow/items/j1?id=i0"] {
            assert_eq!(tier.status("GET", path).await, 503, "{path}");
        }
        assert_eq!(tier.status("DELETE", "/alderhollow/lots/j1").await, 503);
        assert!(!may_start(&tier.stores[0]));
        assert_eq!(tier.backend.requests(), []);

        tier.stores
            .iter()
            .for_each(|store| store.poll.record_validation(FOREVER_MS));
        assert_eq!(tier.submit(1).await, 202);
        assert_eq!(tier.status("GET", "/alderhollow/lots/other").await, 404);
    });
}

/// Compares with lower bounds only: all tests of this process share the metrics and may add to them concurrently.
#[test]
fn the_metrics_count_the_stages_of_a_job() {
    run_in_local_set(async {
        let before = metric_samples();
        let tier = Tier::start(vec![Reply::CutAfter(20)], 0).await;
        assert_eq!(tier.submit(2).await, 202);
        tier.results().await;
        let after = metric_samples();
        for (metric, minimum) in [
            ("alderhollow_batch_jobs_offered_total", 1.0),
            ("alderhollow_batch_job_answers_total{status=\"202\"}", 1.0),
            ("alderhollow_batch_hand_overs_total", 1.0),
            ("alderhollow_batch_hand_over_bytes_total", 100.0),
            ("alderhollow_internal_sent_bytes_total{kind=\"request\",service=\"batch\"}", 100.0),
            ("alderhollow_internal_received_bytes_total{kind=\"notice\",service=\"replication\"}", 200.0),
            ("alderhollow_internal_connections_begun_total", 3.0),
            ("alderhollow_store_jobs_total{result=\"accepted\"}", 1.0),
            ("alderhollow_store_commit_seconds_count", 1.0),
            ("alderhollow_store_items_listed_total", 2.0),
            ("alderhollow_store_runs_started_total", 3.0),
            ("alderhollow_store_run_ends_total{end=\"completed\"}", 2.0),
            ("alderhollow_store_run_ends_total{end=\"cut\"}", 1.0),
            ("alderhollow_run_sent_bytes_total", 18.0),
            ("alderhollow_run_received_bytes_total", 20.0),
            ("alderhollow_store_reads_total", 1.0),
            ("alderhollow_store_journal_writes_total", 6.0),
            ("alderhollow_store_journal_sync_seconds_count", 6.0),
            ("alderhollow_store_group_epochs_changed_total", 3.0),
            ("alderhollow_replication_messages_total{kind=\"entries\"}", 4.0),
            ("alderhollow_replication_comparisons_total", 2.0),
            ("alderhollow_replication_entry_bytes_total{content=\"jobs\"}", 200.0),
            ("alderhollow_replication_entry_bytes_total{content=\"results\"}", 100.0),
        ] {
            let added = after[metric] - before[metric];
            assert!(added >= minimum, "{metric} rose by {added}, expected at least {minimum}");
        }
        let violations = after
            .iter()
            .filter(|(name, _)| name.starts_with("alderhollow_invariant"));
        assert!(violations.map(|(_, count)| *count).sum::<f64>() == 0.0);
    });
}

/// Returns the current metric samples, by name with labels.
fn metric_samples() -> BTreeMap<String, f64> {
    let text = alderhollow::metrics::get().text();
    let samples = text
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.rsplit_once(' '));
    samples
        .map(|(name, value)| (name.to_owned(), value.parse().expect("a number")))
        .collect()
}
