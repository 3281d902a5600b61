//! Parses and executes the operator's commands.

use crate::control_client::ControlClient;
use crate::error::Error;
use crate::query_client::query_all;
use crate::{configuration_changes, report};
use messages::Query;
use std::net::SocketAddr;

/// Text that `help` prints.
pub const HELP: &str = "status         each control node: the leader, voters, configuration, counts\n\
                        backends       service, address, zone, state of each\n\
                        gateways       the agreed gateways, and the nodes they follow\n\
                        configuration  the agreed configuration, as it was sent\n\
                        trials         end and phase of each, rate and waits by gateway\n\
                        check FILE     validate a configuration and report where it is invalid\n\
                        diff FILE      changes that it would make to the current configuration\n\
                        apply FILE     submit it unchanged\n\
                        trial TENANT ends=TIME pace=N wait=MS, or off: set in the next version of the current configuration\n\
                        help, quit";

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    Query(Query),
    Check { file: &'a str },
    Diff { file: &'a str },
    Apply { file: &'a str },
    Trial { tenant: &'a str, fields: Vec<&'a str> },
}

impl<'a> Command<'a> {
    /// Parses a line.
    ///
    /// # Errors
    /// Returns an error if the line is not a valid command.
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

/// Addresses of the control nodes, and the output format.
pub struct Targets {
    /// Internal addresses, used for queries.
    pub query_nodes: Vec<SocketAddr>,
    /// Control addresses, used for reading and changing the configuration.
    pub control_nodes: Vec<SocketAddr>,
    /// Whether to print JSON, one object per line.
    pub is_json: bool,
}

impl Targets {
    /// Executes one line and returns the text to print.
    ///
    /// # Errors
    /// Returns an error if the line is not a valid command or the command fails.
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
            return Err(Error::NoNodeReached(self.query_nodes.clone()));
        }
        Ok(if self.is_json { report::json(&result) } else { report::text(query, &result) })
    }
}

#[cfg(test)]
mod tests;
