//! The operators' file: every subsystem is a table in it, and what is absent is off. No I/O: the text is handed
//! in.
//!
//! Whatever is wrong with a file is one [`Trouble`], which names the line, the key and what was wanted; nothing
//! of the file takes effect then.
//!
//! ```
//! let defaults = granite_operator::read("").expect("an empty file switches nothing on");
//! assert_eq!(defaults.lifecycle.module_grace.as_millis(), 5);
//! let trouble = granite_operator::read("[lifecycle]\nkey_margin_ms = 7000\n").unwrap_err();
//! assert_eq!(trouble.to_string(), "2: lifecycle.key_margin_ms: 7000 is out of range: 0 to 1000 is wanted");
//! ```
#![forbid(unsafe_code)]

use serde::Deserialize;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::Spanned;

/// What the operators want, with the defaults where they say nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    pub lifecycle: Lifecycle,
}

/// `[lifecycle]`: the figures of a request's life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lifecycle {
    /// `way_back_ms`, 1 to 500, default 20: so long before the client's time is up the final answer is due here.
    pub way_back: Duration,
    /// `module_grace_ms`, 0 to 50, default 5: how long past that the decision module may still have the last
    /// word.
    pub module_grace: Duration,
    /// `key_margin_ms`, 0 to 1000, default 20: so long before servers forget a key its last repeat is written.
    pub key_margin: Duration,
}

impl Default for Lifecycle {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Lifecycle { way_back: ms(20), module_grace: ms(5), key_margin: ms(20) }
    }
}

/// What is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// From 1.
    pub line: usize,
    /// Its table and name, as far as they can be told.
    pub key: String,
    /// What was found and what was wanted.
    pub what: String,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let colon = if self.key.is_empty() { "" } else { ": " };
        write!(f, "{}: {}{colon}{}", self.line, self.key, self.what)
    }
}

impl std::error::Error for Trouble {}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    lifecycle: LifecycleTable,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct LifecycleTable {
    way_back_ms: Option<Spanned<i64>>,
    module_grace_ms: Option<Spanned<i64>>,
    key_margin_ms: Option<Spanned<i64>>,
}

/// Reads the text of a file.
///
/// # Errors
/// The first [`Trouble`] found: what is no TOML, an unknown table or key, a wrong type, a figure out of range.
pub fn read(text: &str) -> Result<Operator, Trouble> {
    let file: File = toml::from_str(text).map_err(|e| {
        // The error's text may run over lines; the first says it all.
        let what = e.message().lines().next().unwrap_or_default().to_string();
        trouble(text, e.span().map_or(0, |s| s.start), what)
    })?;
    let table = file.lifecycle;
    let default = Lifecycle::default();
    let ms = |value: Option<Spanned<i64>>, range, default| milliseconds(text, value, range, default);
    Ok(Operator {
        lifecycle: Lifecycle {
            way_back: ms(table.way_back_ms, 1..=500, default.way_back)?,
            module_grace: ms(table.module_grace_ms, 0..=50, default.module_grace)?,
            key_margin: ms(table.key_margin_ms, 0..=1000, default.key_margin)?,
        },
    })
}

fn milliseconds(
    text: &str,
    value: Option<Spanned<i64>>,
    range: RangeInclusive<i64>,
    default: Duration,
) -> Result<Duration, Trouble> {
    let Some(value) = value else { return Ok(default) };
    let ms = *value.get_ref();
    if range.contains(&ms) {
        return Ok(Duration::from_millis(ms.unsigned_abs()));
    }
    let what = format!("{ms} is out of range: {} to {} is wanted", range.start(), range.end());
    Err(trouble(text, value.span().start, what))
}

/// Where that is: the line, and the key with its table, read off the text.
fn trouble(text: &str, at: usize, what: String) -> Trouble {
    let before = text.get(..at).unwrap_or(text);
    let line = before.matches('\n').count();
    let mut lines = text.lines();
    let table =
        text.lines().take(line + 1).filter_map(|l| l.trim().strip_prefix('[')?.split(']').next()).last();
    let key = lines.nth(line).and_then(|l| Some(l.split_once('=')?.0.trim()));
    let key = match (table, key) {
        (Some(table), Some(key)) => format!("{table}.{key}"),
        (table, key) => table.or(key).unwrap_or_default().to_string(),
    };
    Trouble { line: line + 1, key, what }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn wrong(text: &str) -> String {
        read(text).expect_err(text).to_string()
    }

    #[test]
    fn what_is_absent_is_off_or_has_its_default() {
        assert_eq!(read("").unwrap(), Operator::default());
        assert_eq!(read("[lifecycle]\n").unwrap(), Operator::default());
        let some = read("[lifecycle]\nmodule_grace_ms = 50\n").unwrap();
        assert_eq!(some.lifecycle.module_grace, Duration::from_millis(50));
        assert_eq!(some.lifecycle.way_back, Lifecycle::default().way_back);
    }

    #[test]
    fn trouble_names_the_line_the_key_and_what_was_wanted() {
        assert_eq!(
            wrong("# a file\n[lifecycle]\nway_back = 3\n"),
            "3: lifecycle.way_back: unknown field `way_back`, expected one of `way_back_ms`, \
             `module_grace_ms`, `key_margin_ms`"
        );
        assert_eq!(
            wrong("[lifecycle]\nkey_margin_ms = \"20\"\n"),
            "2: lifecycle.key_margin_ms: invalid type: string \"20\", expected i64"
        );
        assert_eq!(
            wrong("[lifecycle]\n\nmodule_grace_ms = -1\n"),
            "3: lifecycle.module_grace_ms: -1 is out of range: 0 to 50 is wanted"
        );
        assert!(wrong("[planet]\n").starts_with("1: planet: unknown field `planet`"));
        assert!(wrong("[lifecycle\n").starts_with("1: "));
    }

    #[test]
    fn it_is_one_line_whatever_the_file_holds() {
        for text in
            ["=", "[", "a = [\n1,\n", "\"\"\"", "[lifecycle]\nway_back_ms = 99999999999999999999\n", "\u{0}"]
        {
            assert!(!wrong(text).contains('\n'), "{text:?}");
        }
    }

    /// The file in the repository is what the program takes by default.
    #[test]
    fn the_file_in_the_repository_says_what_is_so_anyway() {
        assert_eq!(read(include_str!("../../../deploy/operator.toml")).unwrap(), Operator::default());
    }
}
