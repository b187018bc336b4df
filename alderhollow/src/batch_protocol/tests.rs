//! Compatibility of replication notices with earlier versions.

use super::*;
use alderhollow_batch::records::StreamId;

/// A notice as encoded by earlier versions.
#[derive(Encode)]
struct NoticeOfOneGroup {
    #[n(0)]
    from: DiskId,
    #[n(1)]
    to: DiskId,
    #[n(2)]
    message: Message,
}

#[test]
fn a_notice_without_a_group_is_about_the_first_one() {
    let message = Message::Acknowledge {
        stream: StreamId::default(),
        next: 7,
    };
    let old = NoticeOfOneGroup {
        from: DiskId(1),
        to: DiskId(2),
        message: message.clone(),
    };
    let bytes = minicbor::to_vec(old).expect("bytes");
    let read: ReplicationNotice = minicbor::decode(&bytes).expect("a notice");
    assert_eq!(
        read,
        ReplicationNotice {
            from: DiskId(1),
            to: DiskId(2),
            message,
            group: GroupId(0)
        }
    );
}

#[test]
fn a_notice_keeps_its_group() {
    let message = Message::Acknowledge {
        stream: StreamId::default(),
        next: 7,
    };
    let notice = ReplicationNotice {
        from: DiskId(1),
        to: DiskId(2),
        message,
        group: GroupId(5),
    };
    let bytes = minicbor::to_vec(&notice).expect("bytes");
    assert_eq!(
        minicbor::decode::<ReplicationNotice>(&bytes).expect("a notice"),
        notice
    );
}
