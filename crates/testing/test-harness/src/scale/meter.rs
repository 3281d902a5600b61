//! CPU time and memory of processes, from `/proc`.

use std::fs;

/// Process ids of the control nodes and the real gateways.
pub struct Meter {
    control_nodes: Vec<u32>,
    gateways: Vec<u32>,
}

impl Meter {
    pub fn new(children: Vec<(u32, u32)>) -> Self {
        let (control_nodes, gateways) = children.into_iter().unzip();
        Meter { control_nodes, gateways }
    }

    /// Returns the CPU seconds so far, by control node and by gateway; 0 for a process that has ended.
    pub fn spent(&self) -> (Vec<f64>, Vec<f64>) {
        (self.control_nodes.iter().map(spent).collect(), self.gateways.iter().map(spent).collect())
    }

    /// Returns the resident memory in MB, by control node and by gateway.
    pub fn resident(&self) -> (Vec<u64>, Vec<u64>) {
        self.status("VmRSS:")
    }

    /// Returns the peak resident memory in MB, by control node and by gateway.
    pub fn peak(&self) -> (Vec<u64>, Vec<u64>) {
        self.status("VmHWM:")
    }

    fn status(&self, line: &str) -> (Vec<u64>, Vec<u64>) {
        let of = |all: &[u32]| all.iter().map(|id| megabytes(&format!("/proc/{id}/status"), line)).collect();
        (of(&self.control_nodes), of(&self.gateways))
    }

    /// Returns the number of processes that have ended.
    pub fn ended(&self) -> usize {
        let gone = |id: &&u32| {
            let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
            stat.rsplit(')').next().is_none_or(|rest| rest.trim_start().is_empty() || rest.starts_with(" Z"))
        };
        self.control_nodes.iter().chain(&self.gateways).filter(gone).count()
    }
}

/// Returns the CPU seconds of all threads of a process, user and system.
fn spent(id: &u32) -> f64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else { return 0.0 };
    let one = |path: std::path::PathBuf| {
        let text = fs::read_to_string(path.join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    };
    threads.filter_map(|t| one(t.ok()?.path())).sum::<f64>() / 1e9
}

fn megabytes(file: &str, name: &str) -> u64 {
    let text = fs::read_to_string(file).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
    line.split_whitespace().next().and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1024
}

/// Returns the available memory of the machine, in MB.
pub fn free_mb() -> f64 {
    megabytes("/proc/meminfo", "MemAvailable:") as f64
}
