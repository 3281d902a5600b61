//! What changes the configuration: each change is made on the version that was read, and one that was overtaken says so, or, where
//! it is one field of a tenant's, is made again on what stands now.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, LOCATION};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const READ: &str = "/-/Configuration.Read";
const REPLACE: &str = "/-/Configuration.Replace";
const WAIT: Duration = Duration::from_millis(2500);
const TRIES: usize = 12;
const PAUSE: Duration = Duration::from_millis(150);
/// A change of one field is made on what stands, so often at the most.
const AGAIN: usize = 4;

/// A call that is followed to whoever holds the duty, and made again while nobody can say.
async fn call(
    controls: &[SocketAddr],
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), String> {
    let mut to = None;
    let mut why = "nobody was asked".to_string();
    for n in 0..TRIES {
        let at = to.take().unwrap_or(controls[n % controls.len()]);
        match timeout(WAIT, once(at, method.clone(), path, body.clone())).await {
            Ok(Ok((StatusCode::TEMPORARY_REDIRECT, _, Some(next)))) => to = Some(next),
            Ok(Ok((status, text, _))) if !status.is_server_error() => return Ok((status, text)),
            Ok(Ok((status, text, _))) => why = format!("{at}: {status} {}", String::from_utf8_lossy(&text)),
            Ok(Err(e)) => why = format!("{at}: {e}"),
            Err(_) => why = format!("{at}: it says nothing"),
        }
        if to.is_none() {
            sleep(PAUSE).await;
        }
    }
    Err(why)
}

type Answer = (StatusCode, Bytes, Option<SocketAddr>);

async fn once(at: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Answer, String> {
    let said = |e: &dyn std::fmt::Display| e.to_string();
    let stream = TcpStream::connect(at).await.map_err(|e| said(&e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| said(&e))?;
    let request = Request::builder().method(method).uri(path).header(HOST, at.to_string());
    let request =
        request.header(CONTENT_TYPE, "application/json").body(Full::new(body)).map_err(|e| said(&e))?;
    let answer = async {
        let answer = sender.send_request(request).await.map_err(|e| said(&e))?;
        let location = answer.headers().get(LOCATION).and_then(|l| l.to_str().ok());
        let next = location.and_then(|l| l.strip_prefix("http://")?.split('/').next()?.parse().ok());
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(|e| said(&e))?;
        Ok((status, body.to_bytes(), next))
    };
    tokio::select! {
        answer = answer => answer,
        // It goes on until the answer is whole.
        Err(e) = connection => Err(said(&e)),
    }
}

async fn read(controls: &[SocketAddr]) -> Result<Option<Value>, String> {
    match call(controls, Method::GET, READ, Bytes::new()).await? {
        (StatusCode::OK, body) => serde_json::from_slice(&body).map(Some).map_err(|e| e.to_string()),
        (StatusCode::NOT_FOUND, _) => Ok(None),
        (status, body) => Err(format!("{status} {}", String::from_utf8_lossy(&body))),
    }
}

fn refused(status: StatusCode, body: &[u8]) -> String {
    let text = serde_json::from_slice::<Value>(body).ok();
    let text = text.as_ref().and_then(|t| t["errorText"].as_str()).unwrap_or_default();
    match status {
        StatusCode::PRECONDITION_FAILED => format!("overtaken: {text}; read it again"),
        _ => format!("refused: {status} {text}"),
    }
}

/// A configuration file against the schema and its meaning.
///
/// # Errors
/// The first thing that is wrong with it, and where.
pub fn check(file: &str) -> Result<String, String> {
    let text = std::fs::read(file).map_err(|e| format!("{file}: {e}"))?;
    let playbill = configuration::validate(&text).map_err(|e| format!("{file}: {e}"))?;
    let (routes, tenants) = (playbill.routes.len(), playbill.tenants.len());
    Ok(format!(
        "{file}: sound: version {:08x} on {:08x}, {routes} routes, {tenants} tenants",
        playbill.config_version, playbill.base_version
    ))
}

/// What a file would change of what stands.
pub async fn diff(controls: &[SocketAddr], file: &str) -> Result<String, String> {
    check(file)?;
    let text = std::fs::read(file).map_err(|e| format!("{file}: {e}"))?;
    let new: Value = serde_json::from_slice(&text).map_err(|e| format!("{file}: {e}"))?;
    let old = read(controls).await?.unwrap_or(json!({}));
    let lines = differences(&old, &new);
    Ok(if lines.is_empty() { "nothing but its version".into() } else { lines.join("\n") })
}

/// Sends a file as it is.
pub async fn apply(controls: &[SocketAddr], file: &str) -> Result<String, String> {
    let sound = check(file)?;
    let text = std::fs::read(file).map_err(|e| format!("{file}: {e}"))?;
    match call(controls, Method::POST, REPLACE, text.into()).await? {
        (StatusCode::OK, _) => Ok(format!("{sound}; taken")),
        (status, body) => Err(refused(status, &body)),
    }
}

/// Sets a tenant's trial, or takes it off: `ends=TIME pace=N wait=MS`, `off`. What is not named stays.
pub async fn trial(controls: &[SocketAddr], tenant: &str, words: &[&str]) -> Result<String, String> {
    for _ in 0..AGAIN {
        let mut all = read(controls).await?.ok_or("there is no configuration yet")?;
        let version = configuration::Configuration::parse(all.to_string().as_bytes())
            .map_err(|e| e.to_string())?
            .config_version;
        set_trial(&mut all, tenant, words)?;
        let next = version.checked_add(1).ok_or("versions are used up")?;
        all["baseVersion"] = json!(format!("{version:08x}"));
        all["configVersion"] = json!(format!("{next:08x}"));
        match call(controls, Method::POST, REPLACE, all.to_string().into()).await? {
            (StatusCode::OK, _) => return Ok(format!("taken as {next:08x} on {version:08x}")),
            // Somebody else's change came between: the same on top of it.
            (StatusCode::PRECONDITION_FAILED, _) => {}
            (status, body) => return Err(refused(status, &body)),
        }
    }
    Err("others change it all the time; nothing was changed here".into())
}

fn set_trial(all: &mut Value, tenant: &str, words: &[&str]) -> Result<(), String> {
    let tenants = all["tenants"].as_array_mut().ok_or("it names no tenants")?;
    let one =
        tenants.iter_mut().find(|t| t["name"] == tenant).ok_or(format!("no tenant is named {tenant}"))?;
    if words == ["off"] {
        one.as_object_mut().map(|t| t.remove("trial"));
        return Ok(());
    }
    if words.is_empty() {
        return Err("ends=TIME, pace=N, wait=MS, or off is wanted".into());
    }
    let mut trial = one.get("trial").cloned().unwrap_or(json!({}));
    for word in words {
        let (key, value) = word.split_once('=').ok_or(format!("{word:?} is none of ends=, pace=, wait="))?;
        let number = || value.parse::<f64>().map_err(|_| format!("{word:?}: no number"));
        match key {
            "ends" => trial["endsAt"] = json!(value),
            "pace" => trial["pacePerS"] = json!(number()?),
            "wait" => trial["waitMs"] = json!(number()?),
            _ => return Err(format!("{word:?} is none of ends=, pace=, wait=")),
        }
    }
    one["trial"] = trial;
    Ok(())
}

/// What differs, a line each: of lists by name, of the rest whole.
fn differences(old: &Value, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    let none = Vec::new();
    for list in ["routes", "services", "tenants"] {
        let (old, new) = (old[list].as_array().unwrap_or(&none), new[list].as_array().unwrap_or(&none));
        let named = |all: &'_ [Value], name: &Value| all.iter().find(|v| v["name"] == *name).cloned();
        for was in old {
            match named(new, &was["name"]) {
                None => lines.push(format!("- {list} {}", was["name"])),
                Some(is) if is != *was => {
                    let keys = was.as_object().into_iter().chain(is.as_object()).flat_map(|o| o.keys());
                    let mut keys: Vec<&String> = keys.filter(|k| was[k.as_str()] != is[k.as_str()]).collect();
                    keys.sort_unstable();
                    keys.dedup();
                    let parts: Vec<String> = keys
                        .iter()
                        .map(|k| format!("{k}: {} -> {}", was[k.as_str()], is[k.as_str()]))
                        .collect();
                    // Whose key is whose is nobody's who looks on.
                    let parts: Vec<String> = parts
                        .into_iter()
                        .map(|p| if p.starts_with("apiKeys") { "apiKeys: changed".into() } else { p })
                        .collect();
                    lines.push(format!("~ {list} {}: {}", was["name"], parts.join(", ")));
                }
                Some(_) => {}
            }
        }
        let added = new.iter().filter(|is| named(old, &is["name"]).is_none());
        lines.extend(added.map(|is| format!("+ {list} {}", is["name"])));
    }
    if old["limits"] != new["limits"] {
        lines.push(format!("~ limits: {} -> {}", old["limits"], new["limits"]));
    }
    lines
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all() -> Value {
        json!({"configVersion": "00000003", "routes": [{"name": "a", "timeoutMs": 5}], "services": [],
            "tenants": [{"name": "t", "apiKeys": ["secret"], "ratePerS": 40}]})
    }

    #[test]
    fn a_trial_is_set_field_by_field_and_taken_off() {
        let mut c = all();
        set_trial(&mut c, "t", &["ends=2026-12-31T23:00:00Z", "pace=5"]).unwrap();
        set_trial(&mut c, "t", &["wait=1500"]).unwrap();
        let trial = json!({"endsAt": "2026-12-31T23:00:00Z", "pacePerS": 5.0, "waitMs": 1500.0});
        assert_eq!(c["tenants"][0]["trial"], trial);
        set_trial(&mut c, "t", &["off"]).unwrap();
        assert_eq!(c, all());
        for words in [vec![], vec!["pace=fast"], vec!["speed=1"], vec!["pace"]] {
            assert!(set_trial(&mut c, "t", &words).is_err(), "{words:?}");
        }
        assert!(set_trial(&mut c, "u", &["off"]).is_err());
        assert_eq!(c, all(), "what is refused changes nothing");
    }

    #[test]
    fn differences_are_told_by_name_and_no_key_is_shown() {
        let mut new = all();
        new["routes"][0]["timeoutMs"] = json!(7);
        new["tenants"][0]["apiKeys"] = json!(["other"]);
        new["services"] = json!([{"name": "s"}]);
        let told = differences(&all(), &new);
        assert_eq!(
            told,
            ["~ routes \"a\": timeoutMs: 5 -> 7", "+ services \"s\"", "~ tenants \"t\": apiKeys: changed"]
        );
        assert!(differences(&all(), &all()).is_empty());
    }
}
