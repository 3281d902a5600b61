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
    [contractTerms.faultTolerance]
    machineLosses = 2
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

/// Guards against a core that is shrunk below what the stated losses take, or where losses of zones are stated too.
#[test]
fn voters_for_the_stated_losses_are_known_if_machines_alone_are_stated() {
    let min_voters = |losses: &str| {
        let text = TEXT.replace("machineLosses = 2", losses);
        Settings::parse("f", &text).unwrap().contract.fault_tolerance.min_voters()
    };
    assert_eq!(min_voters("machineLosses = 2"), Some(5));
    assert_eq!(min_voters("machineLosses = 1\nzones = 0\nregionLosses = 0"), Some(3));
    assert_eq!(min_voters("machineLosses = 1\nzones = 1"), None);
    assert_eq!(min_voters(""), None);
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
