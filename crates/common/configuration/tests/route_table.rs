//! Route, target and tenant lookup.

use configuration::{Configuration, RouteTable};

fn table() -> RouteTable {
    let text = r#"{"configVersion":"1","routes":[
        {"name":"all","host":"a.example","pathPrefix":"/","routeKind":"safe","targetService":"s"},
        {"name":"deep","host":"a.example","pathPrefix":"/x/y/","routeKind":"unsafe",
         "weightedTargets":[{"targetService":"s","weight":0},{"targetService":"t","weight":3},{"targetService":"u","weight":1}]},
        {"name":"x","host":"A.example","pathPrefix":"/x/","routeKind":"safe","targetService":"s"}],
        "services":[],"tenants":[{"name":"t1","apiKeys":["k1","k2"]}]}"#;
    RouteTable::new(Configuration::parse(text.as_bytes()).unwrap())
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let table = table();
    let name = |host, path| table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(name("a.example", "/x/y/z"), Some("deep"));
    assert_eq!(name("A.Example:8080", "/x/z"), Some("x"));
    assert_eq!(name("a.example", "/x"), Some("all"));
    assert_eq!(name("b.example", "/x"), None);
}

#[test]
fn weighted_targets_follow_their_weights() {
    let table = table();
    let deep = table.route("a.example", "/x/y/").unwrap();
    let targets = [0.0, 0.74, 0.76, 1.0].map(|draw| deep.target(draw));
    assert_eq!(targets, [Some("t"), Some("t"), Some("u"), Some("u")]);
}

#[test]
fn api_key_identifies_its_tenant() {
    assert_eq!(table().tenant("k2").map(|tenant| tenant.name.as_str()), Some("t1"));
    assert!(table().requires_api_key() && table().tenant("k3").is_none());
}
