use super::*;

const TEXT: &str = r#"
    [ownIdentity]
    nodeName = "edge-1"
    ipAddress = "10.1.0.5"
    zone = "a"
    initialStart = true
    later = 1
    [ownIdentity.limits]
    memoryMb = 260
    maxFileDescriptors = 4100
    [networkTerms]
    internalPortRange = [7660, 7675]
    seedNodes = ["10.1.0.5:8407", "10.2.0.3:8407"]
    [networkTerms.listenAddresses]
    controlPlane = "10.1.0.5:8407"
    [contractTerms.bounds]
    graceS = 6
    quotaOvershoot = 0.1
    [new]
    x = []
"#;

#[test]
fn unknown_settings_are_ignored_and_defaults_apply() {
    let settings = Settings::parse("f", TEXT).unwrap();
    assert_eq!(
        (settings.control_port(), settings.seed_addresses().len(), settings.identity.initial_start),
        (7660, 2, true)
    );
    assert_eq!((settings.identity.data_directory, settings.contract.bounds.drain_ms), (None, 2500.0));
}

#[test]
fn invalid_setting_is_reported_in_one_line_with_its_path() {
    let error_line =
        |from: &str, to: &str| Settings::parse("f", &TEXT.replace(from, to)).unwrap_err().to_string();
    assert!(error_line("zone = \"a\"", "").starts_with("f: at /ownIdentity: "));
    assert!(error_line("[7660, 7675]", "[7660]").starts_with("f: at /networkTerms/internalPortRange: "));
    assert!(error_line("10.2.0.3:8407", "nowhere").starts_with("f: "));
    let negative = TEXT.replace("graceS = 6", "graceS = -6");
    assert!(Settings::validate("f", &negative)
        .unwrap_err()
        .to_string()
        .starts_with("f: at /contractTerms/bounds/graceS"));
    assert_eq!(Settings::validate("f", TEXT), Settings::parse("f", TEXT));
    for line in [error_line("zone = \"a\"", "zone ="), error_line("graceS = 6", "graceS = \"x\"")] {
        assert!(!line.contains('\n'), "{line:?}");
    }
}
