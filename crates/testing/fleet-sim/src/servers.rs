//! Job servers: cores, a waiting room, a cold start, and what can go wrong with them. No network here.

use interface::Time;
use std::collections::VecDeque;

/// Capacity of a server that has just started, as a part of the whole, and how long until it is warm.
pub const COLD_FROM: f64 = 0.19;
pub const COLD: Time = 15_000_000_000;
/// Sent more than so many times what it can do, for so long, a cold server falls over and stays down.
pub const FALL_MULTIPLE: f64 = 3.0;
pub const FALL: Time = 1_500_000_000;

/// One attempt as it reached a server.
#[derive(Clone, Debug)]
pub struct Job {
    pub gateway: usize,
    pub life: u64,
    pub id: u64,
    pub attempt: u32,
    /// Work in nanoseconds of one warm core.
    pub work: f64,
    /// Numbers the jobs of the world.
    pub number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Well,
    /// Quickly fails this part of what it gets.
    FailsFast(f64),
    /// Takes everything and answers nothing.
    Silent,
}

/// What the list says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Up,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub listed: Listed,
    /// Whether its process runs; and whether it fell over from too much work when it was cold.
    pub up: bool,
    pub fallen: bool,
    pub mood: Mood,
    pub born: Time,
    cores: usize,
    room: usize,
    busy: usize,
    queue: VecDeque<Job>,
    /// Work sent to it lately while it was cold, and when.
    sent: VecDeque<(Time, f64)>,
}

/// What becomes of a job that comes.
#[derive(Debug)]
pub enum Taken {
    /// It runs from now on, for so long.
    Runs(Job, Time),
    Waits,
    /// Turned away unseen.
    Full,
    /// The server fell over from it: what it held is cut.
    FallsOver,
}

impl Server {
    /// One that has been warm for long.
    pub fn new(cores: usize, room: usize) -> Self {
        Server {
            listed: Listed::Up,
            up: true,
            fallen: false,
            mood: Mood::Well,
            born: 0,
            cores,
            room,
            busy: 0,
            queue: VecDeque::new(),
            sent: VecDeque::new(),
        }
    }

    /// Its process starts, with nothing, and cold.
    pub fn start(&mut self, now: Time) {
        let (cores, room) = (self.cores, self.room);
        *self = Server { born: now.max(1), ..Server::new(cores, room) };
    }

    pub fn stop(&mut self) {
        self.up = false;
        self.busy = 0;
        self.queue.clear();
        self.sent.clear();
    }

    /// What one of its cores does now, as a part of a warm one's.
    pub fn speed(&self, now: Time) -> f64 {
        if self.born == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.born) as f64 / COLD as f64;
        (COLD_FROM + (1.0 - COLD_FROM) * age).min(1.0)
    }

    fn run(&mut self, now: Time, job: Job) -> Taken {
        self.busy += 1;
        let time = (job.work / self.speed(now)) as Time;
        Taken::Runs(job, time)
    }

    pub fn take(&mut self, now: Time, job: Job) -> Taken {
        let speed = self.speed(now);
        if speed < 1.0 {
            self.sent.push_back((now, job.work));
            while self.sent.front().is_some_and(|(at, _)| *at + FALL < now) {
                self.sent.pop_front();
            }
            let sent: f64 = self.sent.iter().map(|(_, work)| work).sum();
            if sent > FALL_MULTIPLE * speed * self.cores as f64 * FALL as f64 {
                self.stop();
                self.fallen = true;
                return Taken::FallsOver;
            }
        }
        if self.busy < self.cores {
            return self.run(now, job);
        }
        if self.queue.len() >= self.room {
            return Taken::Full;
        }
        self.queue.push_back(job);
        Taken::Waits
    }

    /// One that ran is done; the next that runs, and for how long.
    pub fn done(&mut self, now: Time) -> Option<(Job, Time)> {
        self.busy = self.busy.saturating_sub(1);
        let job = self.queue.pop_front()?;
        match self.run(now, job) {
            Taken::Runs(job, time) => Some((job, time)),
            _ => None,
        }
    }

    pub fn load(&self) -> usize {
        self.busy + self.queue.len()
    }

    pub fn cores(&self) -> usize {
        self.cores
    }
}
