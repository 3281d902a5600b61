//! Describes the differences between two configurations for an operator.

use serde_json::Value;

/// Lists whose elements are matched by `name`.
const NAMED_LISTS: [&str; 3] = ["routes", "services", "tenants"];

/// Returns one line per difference. List elements are matched by name; the limits are compared as a whole. API keys are
/// never included.
pub fn differences(old: &Value, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for list in NAMED_LISTS {
        list_differences(list, elements(old, list), elements(new, list), &mut lines);
    }
    if old["limits"] != new["limits"] {
        lines.push(format!("~ limits: {} -> {}", old["limits"], new["limits"]));
    }
    lines
}

fn elements<'a>(configuration: &'a Value, list: &str) -> &'a [Value] {
    configuration[list].as_array().map(Vec::as_slice).unwrap_or_default()
}

fn find_by_name<'a>(elements: &'a [Value], name: &Value) -> Option<&'a Value> {
    elements.iter().find(|element| element["name"] == *name)
}

fn list_differences(list: &str, old: &[Value], new: &[Value], lines: &mut Vec<String>) {
    for before in old {
        let name = &before["name"];
        match find_by_name(new, name) {
            None => lines.push(format!("- {list} {name}")),
            Some(after) if after != before => {
                lines.push(format!("~ {list} {name}: {}", field_differences(before, after)));
            }
            Some(_) => {}
        }
    }
    let added = new.iter().filter(|element| find_by_name(old, &element["name"]).is_none());
    lines.extend(added.map(|element| format!("+ {list} {}", element["name"])));
}

fn field_differences(before: &Value, after: &Value) -> String {
    let objects = before.as_object().into_iter().chain(after.as_object());
    let mut keys: Vec<&str> = objects.flat_map(|object| object.keys().map(String::as_str)).collect();
    keys.retain(|key| before[*key] != after[*key]);
    keys.sort_unstable();
    keys.dedup();
    let described: Vec<String> = keys.into_iter().map(|key| field_difference(key, before, after)).collect();
    described.join(", ")
}

fn field_difference(key: &str, before: &Value, after: &Value) -> String {
    if key.starts_with("apiKeys") {
        return "apiKeys: changed".to_string();
    }
    format!("{key}: {} -> {}", before[key], after[key])
}

#[cfg(test)]
mod tests;
