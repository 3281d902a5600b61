use super::*;

#[test]
fn printed_schedule_is_parsed_back() {
    for seed in 0..20 {
        let faults = schedule(&mut fastrand::Rng::with_seed(seed));
        let printed: Vec<String> = faults.iter().map(Fault::to_string).collect();
        assert_eq!(read(&printed.join(", ")), Ok(faults));
    }
}

#[test]
fn unknown_fault_is_an_error() {
    for text in ["", "crash", "crash 24", "crash -1", "halves", "loss 1", "crash 3 4", "quake 3", "loss,"] {
        let said = read(text).expect_err(text);
        assert!(said.ends_with("is no fault of the view") && said.lines().count() == 1, "{said}");
    }
}
