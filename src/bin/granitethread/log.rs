//! The log: events with fields, on standard error. Plain text by default, one JSON object a line by a setting.

use operator::LogFormat;
use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// From now on events are written. A reader that goes away can't end the process: what can't be written is dropped.
pub fn start(format: LogFormat) {
    let log = tracing_subscriber::fmt()
        .with_max_level(Level::INFO)
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    // An error means that it is started already.
    let _ = match format {
        LogFormat::Plain => log.event_format(Plain).try_init(),
        LogFormat::Json => log.json().flatten_event(true).with_target(false).try_init(),
    };
}

/// The message alone: its words hold what matters, and the fields are for programs.
struct Plain;

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
