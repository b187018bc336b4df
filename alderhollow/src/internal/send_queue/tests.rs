//! Bounds of a peer's queue.

use super::*;

fn notice(bytes: usize) -> Outgoing {
    Outgoing {
        kind: FrameKind::Notice,
        service: ServiceId::Batch,
        payload: vec![0; bytes],
        call: None,
    }
}

#[test]
fn what_waits_is_bounded_in_bytes() {
    let (queue, mut frames) = send_queue();
    assert_eq!(queue.push(notice(MAX_QUEUED_BYTES - 1)), Ok(()));
    assert_eq!(
        queue.push(notice(MAX_QUEUED_BYTES)),
        Ok(()),
        "one larger frame may stand behind"
    );
    assert_eq!(queue.push(notice(0)), Err(NotQueued::Full));
    assert!(frames.next_if_here().is_some());
    assert_eq!(
        queue.push(notice(0)),
        Err(NotQueued::Full),
        "the large one still waits"
    );
    assert!(frames.next_if_here().is_some());
    assert_eq!(queue.push(notice(0)), Ok(()));
}

#[test]
fn what_waits_is_bounded_in_number() {
    let (queue, mut frames) = send_queue();
    for _ in 0..MAX_QUEUED_FRAMES {
        assert_eq!(queue.push(notice(1)), Ok(()));
    }
    assert_eq!(queue.push(notice(1)), Err(NotQueued::Full));
    assert!(frames.next_if_here().is_some());
    assert_eq!(queue.push(notice(1)), Ok(()));
}

#[test]
fn a_frame_for_an_ended_connection_is_told_apart() {
    let (queue, frames) = send_queue();
    drop(frames);
    assert_eq!(queue.push(notice(1)), Err(NotQueued::Ended));
    assert!(queue.is_closed());
}
