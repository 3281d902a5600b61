//! Model of a job server: cores, a bounded queue, a cold start, and its failure modes. The network is
//! modelled elsewhere.

use interface::Time;
use std::collections::VecDeque;

/// Initial speed of a newly started server as a fraction of a warm one, and the time until it is fully warm.
pub const INITIAL_WARMTH: f64 = 0.19;
pub const WARM_UP_TIME: Time = 15_000_000_000;
/// A cold server that receives more than this multiple of its capacity within the window collapses and stays
/// down.
pub const COLLAPSE_MULTIPLE: f64 = 3.0;
pub const COLLAPSE_WINDOW: Time = 1_500_000_000;

/// One attempt that reached a server.
#[derive(Clone, Debug)]
pub struct Job {
    pub gateway: usize,
    pub generation: u64,
    pub id: u64,
    pub attempt: u32,
    /// Work in nanoseconds of one warm core.
    pub work: f64,
    /// Number of the job, unique within the world.
    pub number: u64,
}

/// Health of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    Healthy,
    /// Fails this fraction of its jobs quickly.
    FailsFast(f64),
    /// Accepts every job and never responds.
    Silent,
}

/// State of a server in the discovery list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Up,
    Draining,
    Gone,
}

/// Model of one job server.
#[derive(Clone, Debug)]
pub struct Server {
    pub listed: Listed,
    /// Whether the process runs, and whether it collapsed under load while cold.
    pub running: bool,
    pub collapsed: bool,
    pub condition: Condition,
    pub started_at: Time,
    cores: usize,
    queue_capacity: usize,
    busy: usize,
    queue: VecDeque<Job>,
    /// Work received within the collapse window while cold, with its arrival time.
    recent_work: VecDeque<(Time, f64)>,
}

/// Outcome of admitting a job.
#[derive(Debug)]
pub enum Admission {
    /// The job starts now and runs for this long.
    Started(Job, Time),
    Queued,
    /// The queue is full; the job is rejected unexamined.
    Full,
    /// The server collapsed under this job; its other jobs are interrupted.
    Collapsed,
}

impl Server {
    /// Creates a fully warm server.
    pub fn new(cores: usize, queue_capacity: usize) -> Self {
        Server {
            listed: Listed::Up,
            running: true,
            collapsed: false,
            condition: Condition::Healthy,
            started_at: 0,
            cores,
            queue_capacity,
            busy: 0,
            queue: VecDeque::new(),
            recent_work: VecDeque::new(),
        }
    }

    /// Restarts the process: empty and cold.
    pub fn start(&mut self, now: Time) {
        let (cores, queue_capacity) = (self.cores, self.queue_capacity);
        *self = Server { started_at: now.max(1), ..Server::new(cores, queue_capacity) };
    }

    /// Stops the process; its jobs are lost.
    pub fn stop(&mut self) {
        self.running = false;
        self.busy = 0;
        self.queue.clear();
        self.recent_work.clear();
    }

    /// Returns the speed of one core as a fraction of a warm core's.
    pub fn speed(&self, now: Time) -> f64 {
        if self.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started_at) as f64 / WARM_UP_TIME as f64;
        (INITIAL_WARMTH + (1.0 - INITIAL_WARMTH) * age).min(1.0)
    }

    fn run(&mut self, now: Time, job: Job) -> Admission {
        self.busy += 1;
        let time = (job.work / self.speed(now)) as Time;
        Admission::Started(job, time)
    }

    /// Admits a job: runs it, queues it or rejects it.
    pub fn admit(&mut self, now: Time, job: Job) -> Admission {
        let speed = self.speed(now);
        if speed < 1.0 {
            self.recent_work.push_back((now, job.work));
            while self.recent_work.front().is_some_and(|(at, _)| *at + COLLAPSE_WINDOW < now) {
                self.recent_work.pop_front();
            }
            let recent_work: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
            if recent_work > COLLAPSE_MULTIPLE * speed * self.cores as f64 * COLLAPSE_WINDOW as f64 {
                self.stop();
                self.collapsed = true;
                return Admission::Collapsed;
            }
        }
        if self.busy < self.cores {
            return self.run(now, job);
        }
        if self.queue.len() >= self.queue_capacity {
            return Admission::Full;
        }
        self.queue.push_back(job);
        Admission::Queued
    }

    /// Completes a running job. Returns the next job to run, and its duration.
    pub fn done(&mut self, now: Time) -> Option<(Job, Time)> {
        self.busy = self.busy.saturating_sub(1);
        let job = self.queue.pop_front()?;
        match self.run(now, job) {
            Admission::Started(job, time) => Some((job, time)),
            _ => None,
        }
    }

    /// Returns the number of jobs running or queued.
    pub fn load(&self) -> usize {
        self.busy + self.queue.len()
    }

    pub fn cores(&self) -> usize {
        self.cores
    }
}
