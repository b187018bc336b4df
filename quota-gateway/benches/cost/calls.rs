//! Counts the system calls of a process while something is done with it, by tracing it. Slow: times that are
//! taken meanwhile say nothing.

use std::sync::atomic::AtomicBool;

/// System calls by kind.
#[derive(Clone, Copy, Default)]
pub(crate) struct Calls {
    pub reads: u64,
    pub writes: u64,
    pub others: u64,
}

/// Traces the process until `done`, and then until its next call. `None` where the system does not allow it.
#[cfg(all(target_os = "linux", target_arch = "x86_64", target_env = "gnu"))]
pub(crate) fn count(pid: u32, tracing: &AtomicBool, done: &AtomicBool) -> Option<Calls> {
    use nix::libc;
    use nix::sys::ptrace;
    use nix::sys::wait::{waitpid, WaitStatus};
    use nix::unistd::Pid;
    use std::sync::atomic::Ordering;

    let pid = Pid::from_raw(i32::try_from(pid).ok()?);
    ptrace::seize(pid, ptrace::Options::PTRACE_O_TRACESYSGOOD).ok()?;
    ptrace::interrupt(pid).ok()?;
    let mut calls = Calls::default();
    let mut entered = false;
    loop {
        let signal = match waitpid(pid, None).ok()? {
            WaitStatus::PtraceSyscall(_) => {
                entered = !entered;
                if entered {
                    let number = ptrace::getregs(pid).ok()?.orig_rax as i64;
                    let reads = [
                        libc::SYS_read,
                        libc::SYS_readv,
                        libc::SYS_recvfrom,
                        libc::SYS_recvmsg,
                    ];
                    let writes = [
                        libc::SYS_write,
                        libc::SYS_writev,
                        libc::SYS_sendto,
                        libc::SYS_sendmsg,
                    ];
                    *if reads.contains(&number) {
                        &mut calls.reads
                    } else if writes.contains(&number) {
                        &mut calls.writes
                    } else {
                        &mut calls.others
                    } += 1;
                }
                None
            }
            WaitStatus::Stopped(_, signal) => Some(signal),
            // The stop that was asked for above.
            WaitStatus::PtraceEvent(..) => {
                tracing.store(true, Ordering::Release);
                None
            }
            _ => return None,
        };
        if done.load(Ordering::Acquire) {
            ptrace::detach(pid, signal).ok()?;
            return Some(calls);
        }
        ptrace::syscall(pid, signal).ok()?;
    }
}

#[cfg(not(all(target_os = "linux", target_arch = "x86_64", target_env = "gnu")))]
pub fn count(_pid: u32, _tracing: &AtomicBool, _done: &AtomicBool) -> Option<Calls> {
    None
}
