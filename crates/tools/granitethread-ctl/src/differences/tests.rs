use super::*;
use serde_json::json;

fn configuration() -> Value {
    json!({"configVersion": "00000003", "routes": [{"name": "a", "timeoutMs": 5}], "services": [],
        "tenants": [{"name": "t", "apiKeys": ["secret"], "ratePerS": 40}]})
}

#[test]
fn differences_are_listed_by_name_without_any_key() {
    let mut new = configuration();
    new["routes"][0]["timeoutMs"] = json!(7);
    new["tenants"][0]["apiKeys"] = json!(["other"]);
    new["services"] = json!([{"name": "s"}]);
    assert_eq!(
        differences(&configuration(), &new),
        ["~ routes \"a\": timeoutMs: 5 -> 7", "+ services \"s\"", "~ tenants \"t\": apiKeys: changed"]
    );
    assert!(differences(&configuration(), &configuration()).is_empty());
}
