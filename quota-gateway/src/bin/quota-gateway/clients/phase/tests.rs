use super::*;
use tokio::task::LocalSet;

/// Runs a test under a paused clock, which advances to the next timer at once.
fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

#[test]
fn standby_drains_the_gateway_unless_active_comes_first() {
    run(async {
        let phase_control = PhaseControl::new();
        phase_control.stand_by().expect("it serves");
        sleep(EMPTY_AFTER / 2).await;
        phase_control
            .stand_by()
            .expect("a second call changes nothing");
        assert_eq!(phase_control.phase(), Phase::Leaving);
        phase_control.take_up().expect("it serves again");
        assert_eq!(phase_control.phase(), Phase::Serving);
        phase_control.stand_by().expect("it serves");
        assert!(phase_control.stands_by());
        sleep(EMPTY_AFTER * 3 / 4).await;
        assert_eq!(
            phase_control.phase(),
            Phase::Leaving,
            "the timer of the first call does nothing"
        );
        sleep(EMPTY_AFTER / 2).await;
        assert_eq!(phase_control.phase(), Phase::Emptying);
        phase_control.end();
        assert_eq!(phase_control.phase(), Phase::Emptying);
        assert!(
            !phase_control.stands_by(),
            "a successor is expected to serve"
        );
        assert_eq!(phase_control.take_up(), Err(PhaseError::Ending));
        phase_control.close();
        sleep(EMPTY_AFTER * 2).await;
        assert_eq!(phase_control.phase(), Phase::Closing);
    });
}

#[test]
fn a_process_that_has_handed_over_accepts_no_clients_until_it_resumes() {
    run(async {
        let phase_control = PhaseControl::new();
        phase_control.hand_over();
        assert_eq!(
            [phase_control.stand_by(), phase_control.take_up()],
            [Err(PhaseError::HandedOver); 2]
        );
        assert_eq!(phase_control.phase(), Phase::HandedOver);
        phase_control.resume();
        assert_eq!(phase_control.phase(), Phase::Serving);
        phase_control.hand_over();
        phase_control.end();
        phase_control.resume();
        assert_eq!(
            phase_control.phase(),
            Phase::HandedOver,
            "it is still shutting down"
        );
        assert_eq!(
            phase_control.take_up(),
            Err(PhaseError::HandedOver),
            "the hand-over takes precedence over the shutdown"
        );
    });
}
