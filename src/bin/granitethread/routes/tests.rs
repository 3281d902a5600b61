use super::*;

const OPERATOR_FILE: &str =
    "[[pool]]\nname = \"pricing\"\nzone = [\"a\"]\n[[pool]]\nname = \"booking\"\ngroup = [7]\n\
    [[route]]\nprefix = \"/v2/api\"\nrewrite = \"/api\"\nclass = [\"quote\"]\npool = \"pricing\"\n\
    [[route]]\nhost = \"*.example\"\npool = \"booking\"\n";

fn routes(text: &str) -> Result<Routes, String> {
    let class = |name| Class::new(name, 1, 1, Effect::Safe, Group::All);
    let settings = Settings { classes: vec![class("quote"), class("confirm")], ..Settings::default() };
    Routes::new(&operator::read(text).expect("a valid file"), &settings)
}

fn destination(r: &Routes, uri: &str, host: &str, class: usize) -> Option<(usize, String)> {
    let request = hyper::Request::get(uri).header("host", host).body(()).expect("a request");
    let found = r.find(&request.into_parts().0, class, "c")?;
    Some((found.pool, found.uri.to_string()))
}

#[test]
fn request_has_a_pool_and_a_path_or_no_route() {
    let r = routes(OPERATOR_FILE).unwrap();
    assert_eq!(destination(&r, "/v2/api/x?y=1", "h", 0), Some((0, "/api/x?y=1".into())));
    assert_eq!(destination(&r, "/v2/api", "h", 1), None);
    assert_eq!(destination(&r, "/any", "A.Example:8080", 1), Some((1, "/any".into())));
    assert_eq!(
        destination(&r, "http://b.example/any?q", "h", 1),
        Some((1, "/any?q".into())),
        "the host of the request target"
    );
    assert_eq!(destination(&r, "/", "[::1]:80", 1), None);
}

#[test]
fn without_routes_the_default_path_goes_to_all_servers() {
    let r = routes("").unwrap();
    assert_eq!((r.pools(), destination(&r, "/api?x=1", "h", 0)), (1, Some((0, "/api?x=1".into()))));
    assert_eq!(destination(&r, "/apis", "h", 0), None);
}

#[test]
fn server_is_in_the_pools_that_select_it() {
    let target = |az: &str, group: u32| -> Target {
        let text = format!(r#"{{"uid":"s","az":"{az}","pod_group":{group},"state":"Ready"}}"#);
        serde_json::from_str(&text).unwrap()
    };
    let r = routes(OPERATOR_FILE).unwrap();
    assert_eq!(
        [("a", 1), ("a", 7), ("b", 7), ("b", 1)].map(|(az, g)| r.pools_of(&target(az, g))),
        [1, 3, 2, 0]
    );
    assert_eq!(routes("").unwrap().pools_of(&target("x", 0)), 1);
}

#[test]
fn error_names_the_line() {
    let error = |text: &str| routes(text).err().expect("an error");
    assert_eq!(
        error(&OPERATOR_FILE.replace("[\"quote\"]", "[\"quota\"]")),
        "line 7: no class is named \"quota\""
    );
    assert!(error(&OPERATOR_FILE.replace("*.example", "*")).starts_with("line 12: host is"));
    let operator = |text: &str| operator::read(text).expect("a valid file");
    assert_eq!(Routes::check(&operator(OPERATOR_FILE)), Ok(()));
    assert!(Routes::check(&operator(&OPERATOR_FILE.replace("*.example", "*"))).is_err());
}
