//! Sets the fields of a tenant's trial directly in a configuration's JSON, so that all other fields keep their form.

use crate::error::TrialError;
use serde_json::{json, Value};

/// Sets the given fields (`ends=`, `pace=`, `wait=`), or removes the trial (`off`).
///
/// # Errors
/// Returns an error if the tenant does not exist, or if a field is unknown or not a number. The configuration is then
/// unchanged.
pub fn set_trial(configuration: &mut Value, tenant: &str, fields: &[&str]) -> Result<(), TrialError> {
    let tenants = configuration["tenants"].as_array_mut().ok_or(TrialError::NoTenants)?;
    let tenant = tenants
        .iter_mut()
        .find(|candidate| candidate["name"] == tenant)
        .ok_or_else(|| TrialError::UnknownTenant(tenant.to_string()))?;
    if fields == ["off"] {
        tenant.as_object_mut().map(|tenant| tenant.remove("trial"));
        return Ok(());
    }
    if fields.is_empty() {
        return Err(TrialError::NothingToSet);
    }
    let mut trial = tenant.get("trial").cloned().unwrap_or(json!({}));
    for field in fields {
        set_field(&mut trial, field)?;
    }
    tenant["trial"] = trial;
    Ok(())
}

fn set_field(trial: &mut Value, field: &str) -> Result<(), TrialError> {
    let unknown = || TrialError::UnknownField(field.to_string());
    let (key, value) = field.split_once('=').ok_or_else(unknown)?;
    let number = || value.parse::<f64>().map_err(|_| TrialError::NotANumber(field.to_string()));
    match key {
        "ends" => trial["endsAt"] = json!(value),
        "pace" => trial["pacePerS"] = json!(number()?),
        "wait" => trial["waitMs"] = json!(number()?),
        _ => return Err(unknown()),
    }
    Ok(())
}

#[cfg(test)]
mod tests;
