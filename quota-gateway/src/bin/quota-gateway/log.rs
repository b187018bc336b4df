//! The lines that the program writes for staff: events of `tracing`, each with a name and fields.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde::Deserialize;
use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{debug_fn, Writer};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Most bytes that a pipe which can be written to takes at once (`PIPE_BUF` of pipe(7)): a longer line is cut.
const LINE_LIMIT: usize = 4096;

/// The form of the lines.
#[derive(Deserialize, Debug, Clone, Copy, Default, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Form {
    /// `quota-gateway: ` and the message, for people.
    #[default]
    Plain,
    /// An object of JSON a line: time, level, message, the event's name and its fields.
    Json,
}

/// Lines go to standard error from here on.
pub(crate) fn start(form: Form) {
    let writer = move || Lines { form };
    let builder = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_ansi(false);
    // Another that was set before stays: there is only one start.
    let _ = match form {
        Form::Plain => {
            let message = debug_fn(|writer, field, value| match field.name() {
                "message" => write!(writer, "{value:?}"),
                _ => Ok(()),
            });
            tracing::subscriber::set_global_default(
                builder.fmt_fields(message).event_format(Plain).finish(),
            )
        }
        Form::Json => tracing::subscriber::set_global_default(
            builder
                .json()
                .flatten_event(true)
                .with_current_span(false)
                .with_span_list(false)
                .finish(),
        ),
    };
}

struct Plain;

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "quota-gateway: ")?;
        context
            .field_format()
            .format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Standard error, as long as somebody takes what is written there. A log that nobody takes is no reason to wait
/// or to end: such lines are lost and counted, and the count is told before the next line that goes out.
struct Lines {
    form: Form,
}

static LOST: AtomicU64 = AtomicU64::new(0);

impl Lines {
    fn put(&self, line: &[u8]) -> io::Result<()> {
        let errors = io::stderr();
        let mut open = [PollFd::new(&errors, PollFlags::OUT)];
        if poll(&mut open, Some(&Timespec::default()))? == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        match line.get(..LINE_LIMIT - 1) {
            Some(cut) => errors.lock().write_all(&[cut, b"\n"].concat()),
            None => errors.lock().write_all(line),
        }
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let lost = LOST.load(Ordering::Relaxed);
        if lost > 0 {
            let told = match self.form {
                Form::Plain => format!("quota-gateway: {lost} lines of the log were lost\n"),
                Form::Json => format!("{{\"event\":\"log_lost\",\"lines\":{lost}}}\n"),
            };
            if self.put(told.as_bytes()).is_ok() {
                LOST.fetch_sub(lost, Ordering::Relaxed);
            }
        }
        if self.put(line).is_err() {
            LOST.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
