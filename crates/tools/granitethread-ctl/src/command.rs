//! The commands that an operator types, and how they are carried out.

use crate::control_client::ControlClient;
use crate::error::Error;
use crate::query_client::query_all;
use crate::{configuration_changes, report};
use messages::Query;
use std::net::SocketAddr;

/// Shown by `help`.
pub const HELP: &str = "status         each control node: the leader, voters, configuration, counts\n\
                        backends       service, address, zone, state of each\n\
                        gateways       which are agreed on, and whom they follow\n\
                        configuration  the one that is agreed on, as it was sent\n\
                        trials         when each ends, which are over, pace and waits by gateway\n\
                        check FILE     whether a configuration is sound, and where not\n\
                        diff FILE      what it would change of what stands\n\
                        apply FILE     send it as it is\n\
                        trial TENANT ends=TIME pace=N wait=MS, or off: in the next version, on what stands\n\
                        help, quit";

/// One line of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    Query(Query),
    Check { file: &'a str },
    Diff { file: &'a str },
    Apply { file: &'a str },
    Trial { tenant: &'a str, fields: Vec<&'a str> },
}

impl<'a> Command<'a> {
    /// # Errors
    /// The line is no command.
    pub fn parse(line: &'a str) -> Result<Self, Error> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let command = match words[..] {
            ["check", file] => Command::Check { file },
            ["diff", file] => Command::Diff { file },
            ["apply", file] => Command::Apply { file },
            ["trial", tenant, ref fields @ ..] => Command::Trial { tenant, fields: fields.to_vec() },
            _ => Command::Query(parse_query(line)?),
        };
        Ok(command)
    }
}

fn parse_query(line: &str) -> Result<Query, Error> {
    let query = match line {
        "status" => Query::Status,
        "backends" => Query::Backends,
        "gateways" => Query::Gateways,
        "configuration" => Query::Configuration,
        "trials" => Query::Trials,
        other => return Err(Error::UnknownCommand(other.to_string())),
    };
    Ok(query)
}

/// Where control nodes are reached, and how answers are printed.
pub struct Targets {
    /// Internal addresses, for queries.
    pub query_nodes: Vec<SocketAddr>,
    /// Control addresses, for changes of the configuration.
    pub control_nodes: Vec<SocketAddr>,
    /// Answers as JSON, one object a line.
    pub is_json: bool,
}

impl Targets {
    /// Carries out one line; what it returns is printed.
    ///
    /// # Errors
    /// It is no command, or has no answer.
    pub async fn run(&self, line: &str) -> Result<String, Error> {
        match Command::parse(line)? {
            Command::Query(query) => self.query(query).await,
            Command::Check { file } => configuration_changes::check(file),
            Command::Diff { file } => configuration_changes::diff(&self.control_client()?, file).await,
            Command::Apply { file } => configuration_changes::apply(&self.control_client()?, file).await,
            Command::Trial { tenant, fields } => {
                configuration_changes::trial(&self.control_client()?, tenant, &fields).await
            }
        }
    }

    fn control_client(&self) -> Result<ControlClient<'_>, Error> {
        ControlClient::new(&self.control_nodes)
    }

    async fn query(&self, query: Query) -> Result<String, Error> {
        if self.query_nodes.is_empty() {
            return Err(Error::AddressMissing("at"));
        }
        let result = query_all(query, &self.query_nodes).await;
        if result.responses.is_empty() {
            return Err(Error::NobodyReached(self.query_nodes.clone()));
        }
        Ok(if self.is_json { report::json(&result) } else { report::text(query, &result) })
    }
}

#[cfg(test)]
mod tests;
