//! The processes that a case has started, which it ends in any case.

use std::sync::Mutex;
use std::time::Duration;

/// A case that takes longer has failed to run.
const LONGEST_RUN: Duration = Duration::from_secs(110);
const SIGKILL: i32 = 9;

static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Records a process that was started.
pub fn record_start(process: u32) {
    let Ok(process) = i32::try_from(process) else {
        return;
    };
    STARTED.lock().expect("no writer panics").push(process);
}

/// Records that a process has ended, so that its number may be another one's.
pub fn record_end(process: u32) {
    let mut started = STARTED.lock().expect("no writer panics");
    started.retain(|known| u32::try_from(*known) != Ok(process));
}

/// Ends this process and all that it has started, if the case takes too long.
pub fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        for process in STARTED.lock().expect("no writer panics").iter() {
            // SAFETY: The call has no pointers.
            unsafe { kill(*process, SIGKILL) };
        }
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
}
