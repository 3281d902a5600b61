//! Log output on standard error: plain text by default, or one JSON object with fields per line.

use operator::LogFormat;
use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Installs the log subscriber. Events that cannot be written are dropped, so a closed reader cannot end the process.
pub fn start(format: LogFormat) {
    let log = tracing_subscriber::fmt()
        .with_max_level(Level::INFO)
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    // An error means that a subscriber is already installed.
    let _ = match format {
        LogFormat::Plain => log.event_format(Plain).try_init(),
        LogFormat::Json => log.json().flatten_event(true).with_target(false).try_init(),
    };
}

/// Formats only the message: its text states what matters, and the fields are for programs.
struct Plain;

/// Writes the `message` field and ignores all others.
struct Message<'a, 'w>(&'a mut Writer<'w>, fmt::Result);

impl Visit for Message<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.1 = write!(self.0, "{value:?}");
        }
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static> FormatEvent<S, N>
    for Plain
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut message = Message(&mut to, Ok(()));
        event.record(&mut message);
        message.1?;
        writeln!(to)
    }
}
