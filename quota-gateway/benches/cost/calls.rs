//! Counts the system calls of a process with ptrace. Tracing slows the process down, so times measured meanwhile are
//! meaningless.

use std::sync::atomic::AtomicBool;

/// Number of system calls by kind.
#[derive(Clone, Copy, Default)]
pub(crate) struct SyscallCounts {
    pub reads: u64,
    pub writes: u64,
    pub others: u64,
}

/// Counts system calls until `done` is set and the process makes one more. Sets `tracing` once the trace is active.
/// Returns `None` where the system does not allow tracing.
#[cfg(all(target_os = "linux", target_arch = "x86_64", target_env = "gnu"))]
pub(crate) fn count_syscalls(
    pid: u32,
    tracing: &AtomicBool,
    done: &AtomicBool,
) -> Option<SyscallCounts> {
    use nix::libc;
    use nix::sys::ptrace;
    use nix::sys::wait::{waitpid, WaitStatus};
    use nix::unistd::Pid;
    use std::sync::atomic::Ordering;

    let pid = Pid::from_raw(i32::try_from(pid).ok()?);
    ptrace::seize(pid, ptrace::Options::PTRACE_O_TRACESYSGOOD).ok()?;
    ptrace::interrupt(pid).ok()?;
    let mut counts = SyscallCounts::default();
    let mut in_syscall = false;
    loop {
        let signal = match waitpid(pid, None).ok()? {
            WaitStatus::PtraceSyscall(_) => {
                in_syscall = !in_syscall;
                if in_syscall {
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
                        &mut counts.reads
                    } else if writes.contains(&number) {
                        &mut counts.writes
                    } else {
                        &mut counts.others
                    } += 1;
                }
                None
            }
            WaitStatus::Stopped(_, signal) => Some(signal),
            // The stop requested by `ptrace::interrupt`.
            WaitStatus::PtraceEvent(..) => {
                tracing.store(true, Ordering::Release);
                None
            }
            _ => return None,
        };
        if done.load(Ordering::Acquire) {
            ptrace::detach(pid, signal).ok()?;
            return Some(counts);
        }
        ptrace::syscall(pid, signal).ok()?;
    }
}

#[cfg(not(all(target_os = "linux", target_arch = "x86_64", target_env = "gnu")))]
pub(crate) fn count_syscalls(
    _pid: u32,
    _tracing: &AtomicBool,
    _done: &AtomicBool,
) -> Option<SyscallCounts> {
    None
}
