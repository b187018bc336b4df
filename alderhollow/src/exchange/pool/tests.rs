use super::is_refused_by_system;
use rustix::io::Errno;
use std::io;

/// Guards against backends that are ejected because their sender has no descriptor, port or memory left.
#[test]
fn what_the_system_refuses_to_this_process_is_no_failure_of_a_backend() {
    let refused_by_system = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    let failures_of_backends = [
        Errno::CONNREFUSED,
        Errno::CONNRESET,
        Errno::HOSTUNREACH,
        Errno::NETUNREACH,
        Errno::TIMEDOUT,
    ];
    let is_refused = |errno: Errno| is_refused_by_system(&io::Error::from(errno));
    assert_eq!(refused_by_system.map(is_refused), [true; 6]);
    assert_eq!(failures_of_backends.map(is_refused), [false; 5]);
    assert!(!is_refused_by_system(&io::Error::other("no system error")));
}
