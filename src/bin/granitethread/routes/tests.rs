use super::*;

const TEXT: &str =
    "[[pool]]\nname = \"pricing\"\nzone = [\"a\"]\n[[pool]]\nname = \"booking\"\ngroup = [7]\n\
    [[route]]\nprefix = \"/v2/api\"\nrewrite = \"/api\"\nclass = [\"quote\"]\npool = \"pricing\"\n\
    [[route]]\nhost = \"*.example\"\npool = \"booking\"\n";

fn routes(text: &str) -> Result<Routes, String> {
    let class = |name| Class::new(name, 1, 1, Effect::Safe, Group::All);
    let settings = Settings { classes: vec![class("quote"), class("confirm")], ..Settings::default() };
    Routes::new(&operator::read(text).expect("it can be read"), &settings)
}

fn place(r: &Routes, uri: &str, host: &str, class: usize) -> Option<(usize, String)> {
    let request = hyper::Request::get(uri).header("host", host).body(()).expect("a request");
    let found = r.place(&request.into_parts().0, class, "c")?;
    Some((found.pool, found.uri.to_string()))
}

#[test]
fn a_request_has_a_pool_and_a_path_or_no_route() {
    let r = routes(TEXT).unwrap();
    assert_eq!(place(&r, "/v2/api/x?y=1", "h", 0), Some((0, "/api/x?y=1".into())));
    assert_eq!(place(&r, "/v2/api", "h", 1), None);
    assert_eq!(place(&r, "/any", "A.Example:8080", 1), Some((1, "/any".into())));
    assert_eq!(place(&r, "http://b.example/any?q", "h", 1), Some((1, "/any?q".into())), "the target's host");
    assert_eq!(place(&r, "/", "[::1]:80", 1), None);
}

#[test]
fn without_routes_the_one_path_goes_to_all_servers() {
    let r = routes("").unwrap();
    assert_eq!((r.pools(), place(&r, "/api?x=1", "h", 0)), (1, Some((0, "/api?x=1".into()))));
    assert_eq!(place(&r, "/apis", "h", 0), None);
}

#[test]
fn a_server_is_in_the_pools_that_take_it() {
    let target = |az: &str, group: u32| -> Target {
        let text = format!(r#"{{"uid":"s","az":"{az}","pod_group":{group},"state":"Ready"}}"#);
        serde_json::from_str(&text).unwrap()
    };
    let r = routes(TEXT).unwrap();
    assert_eq!([("a", 1), ("a", 7), ("b", 7), ("b", 1)].map(|(az, g)| r.of(&target(az, g))), [1, 3, 2, 0]);
    assert_eq!(routes("").unwrap().of(&target("x", 0)), 1);
}

#[test]
fn what_wont_do_names_its_line() {
    let error = |text: &str| routes(text).err().expect("it won't do");
    assert_eq!(error(&TEXT.replace("[\"quote\"]", "[\"quota\"]")), "line 7: no class is named \"quota\"");
    assert!(error(&TEXT.replace("*.example", "*")).starts_with("line 12: host is"));
    let operator = |text: &str| operator::read(text).expect("it can be read");
    assert_eq!(Routes::check(&operator(TEXT)), Ok(()));
    assert!(Routes::check(&operator(&TEXT.replace("*.example", "*"))).is_err());
}
