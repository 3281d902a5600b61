//! Commands that validate, compare and change the configuration. Each change is based on the version that was read. If another
//! change was committed first, the conflict is reported; a change of a tenant's trial is retried on the newer version.

use crate::control_client::{Answer, ControlClient};
use crate::differences::differences;
use crate::error::Error;
use crate::trial_settings::set_trial;
use configuration::Configuration;
use hyper::StatusCode;
use serde_json::{json, Value};

/// Maximum number of attempts to change a trial when other changes conflict with it.
const MAX_TRIAL_ATTEMPTS: usize = 4;

/// Validates a configuration file.
///
/// # Errors
/// Returns the first problem of the file and its location.
pub fn check(file: &str) -> Result<String, Error> {
    validated(file).map(|(_, summary)| summary)
}

/// Returns the differences between the current configuration and a file, one line each.
///
/// # Errors
/// Returns an error if the file is invalid or the current configuration cannot be read.
pub async fn diff(client: &ControlClient<'_>, file: &str) -> Result<String, Error> {
    let (text, _) = validated(file)?;
    let new =
        serde_json::from_slice(&text).map_err(|reason| Error::NotJson { file: file.to_string(), reason })?;
    let old = client.read().await?.unwrap_or(json!({}));
    let lines = differences(&old, &new);
    if lines.is_empty() {
        return Ok("nothing but its version".to_string());
    }
    Ok(lines.join("\n"))
}

/// Proposes a file unchanged.
///
/// # Errors
/// Returns an error if the file is invalid, no node answers, or the change is refused.
pub async fn apply(client: &ControlClient<'_>, file: &str) -> Result<String, Error> {
    let (text, summary) = validated(file)?;
    let answer = client.replace(text.into()).await?;
    if answer.status == StatusCode::OK {
        return Ok(format!("{summary}; taken"));
    }
    Err(refusal(&answer))
}

/// Sets fields of a tenant's trial (`ends=TIME pace=N wait=MS`), or removes the trial (`off`). Other fields stay unchanged.
///
/// # Errors
/// Returns an error if the fields are invalid, no node answers, or every attempt conflicts with another change.
pub async fn trial(client: &ControlClient<'_>, tenant: &str, fields: &[&str]) -> Result<String, Error> {
    for _ in 0..MAX_TRIAL_ATTEMPTS {
        let mut configuration = client.read().await?.ok_or(Error::NoConfiguration)?;
        let base = version_of(&configuration)?;
        set_trial(&mut configuration, tenant, fields)?;
        let version = base.checked_add(1).ok_or(Error::VersionsExhausted)?;
        configuration["baseVersion"] = json!(format!("{base:08x}"));
        configuration["configVersion"] = json!(format!("{version:08x}"));
        let answer = client.replace(configuration.to_string().into()).await?;
        match answer.status {
            StatusCode::OK => return Ok(format!("taken as {version:08x} on {base:08x}")),
            // Another change was committed first: retry on the newer version.
            StatusCode::PRECONDITION_FAILED => {}
            _ => return Err(refusal(&answer)),
        }
    }
    Err(Error::RetriesExhausted)
}

/// Returns the text of a valid file, and a summary line.
fn validated(file: &str) -> Result<(Vec<u8>, String), Error> {
    let text = std::fs::read(file).map_err(|reason| Error::File { file: file.to_string(), reason })?;
    let configuration = configuration::validate(&text)
        .map_err(|reason| Error::InvalidFile { file: file.to_string(), reason })?;
    let (routes, tenants) = (configuration.routes.len(), configuration.tenants.len());
    let summary = format!(
        "{file}: sound: version {:08x} on {:08x}, {routes} routes, {tenants} tenants",
        configuration.config_version, configuration.base_version
    );
    Ok((text, summary))
}

fn version_of(configuration: &Value) -> Result<u32, Error> {
    let parsed =
        Configuration::parse(configuration.to_string().as_bytes()).map_err(Error::UnreadableConfiguration)?;
    Ok(parsed.config_version)
}

fn refusal(answer: &Answer) -> Error {
    let body = serde_json::from_slice::<Value>(&answer.body).ok();
    let reason = body.as_ref().and_then(|body| body["errorText"].as_str()).unwrap_or_default().to_string();
    match answer.status {
        StatusCode::PRECONDITION_FAILED => Error::Conflict(reason),
        status => Error::Refused { status, reason },
    }
}
