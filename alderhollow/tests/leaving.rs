//! How the HTTP server of a gateway ends.

mod support;

use alderhollow::http_server::phase::Phase;
use std::time::Duration;
use support::backend::*;
use support::client::{ask, Client};
use support::gateway::*;
use support::run;
use tokio::time::{sleep, Instant};

#[test]
fn who_is_served_or_half_read_is_answered_and_who_is_idle_sent_off() {
    run(async {
        let gateway = Gateway::start(1).await;
        let pause = Step::Pause(Duration::from_millis(1000));
        let mut busy = Client::connect(gateway.address).await;
        let mut steps = vec![pause];
        steps.extend(served("busy"));
        gateway.backends.script(steps);
        busy.write(&request("/once/busy", "", "x")).await;
        while gateway.backends.seen().is_empty() {
            tokio::task::yield_now().await;
        }
        let mut idle = Client::connect(gateway.address).await;
        gateway.backends.script(served("idle"));
        idle.write(&request("/once/idle", "", "x")).await;
        assert_eq!(idle.reply().await.expect("an answer").body, "idle");
        let mut half = Client::connect(gateway.address).await;
        let text = request("/once/half", "", "x");
        half.write(&text[..30]).await;
        sleep(Duration::from_millis(20)).await;

        gateway.phase.send_replace(Phase::Draining);
        assert!(idle.ends().await);
        gateway.backends.script(served("half"));
        half.write(&text[30..]).await;
        for (client, body) in [(&mut half, "half"), (&mut busy, "busy")] {
            let reply = client.reply().await.expect("an answer");
            assert_eq!(
                (reply.body.as_str(), reply.header("connection").as_deref()),
                (body, Some("close"))
            );
            assert!(client.ends().await);
        }
    });
}

#[test]
fn clients_that_still_come_are_served_until_the_platform_has_noticed() {
    run(async {
        let gateway = Gateway::start(1).await;
        let began = Instant::now();
        gateway.phase.send_replace(Phase::Draining);
        sleep(Duration::from_millis(2000)).await;
        gateway.backends.script(served("late"));
        let reply = ask(gateway.address, &request("/once/late", "", "x")).await;
        assert_eq!(
            (reply.body.as_str(), reply.header("connection").as_deref()),
            ("late", Some("close"))
        );
        gateway.running.await.expect("it ends");
        let took = began.elapsed();
        assert!(
            took >= Duration::from_millis(2500) && took < Duration::from_millis(3500),
            "{took:?}"
        );
    });
}

#[test]
fn one_that_holds_on_ends_with_the_time_for_leaving() {
    run(async {
        let gateway = Gateway::start(1).await;
        let many: Vec<Step> = (1..=100)
            .flat_map(|id| [chunk(&event(id)), Step::Pause(Duration::from_millis(200))])
            .collect();
        let mut steps = vec![stream_head("s")];
        steps.extend(many);
        gateway.backends.script(steps);
        let mut client = Client::connect(gateway.address).await;
        let request =
            request("/talk/1", "", "x").replace("Deadline-Ms: 2500", "Deadline-Ms: 20000");
        client.write(&request).await;
        client.read_until(&event(3)).await;
        let began = Instant::now();
        gateway.phase.send_replace(Phase::Draining);
        gateway.running.await.expect("it ends");
        assert!(began.elapsed() <= GRACE, "{:?}", began.elapsed());
        assert!(!client.reply().await.expect("what came").whole);
    });
}
