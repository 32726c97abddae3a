//! Runs one case of the second review: `review-2 CASE RECORD`, from the root of the project. Exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod media;
mod names;
mod node;
mod record;
mod sys;
mod viewer;

use record::Record;
use std::time::Duration;

/// What a case has found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("review-2 CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(path);
    record.line(&format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let (case, in_case) = (case.clone(), record.clone());
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let result =
            std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(&case, trouble, &in_case)));
        let _ = tx.send(result.ok());
    });
    // The processes that the case has started end with this one.
    let code = match rx.recv_timeout(Duration::from_secs(110)) {
        Ok(Some(Verdict::Held(text))) => {
            println!("held: {text}");
            record.line(&format!("held: {text}"));
            0
        }
        Ok(Some(Verdict::Broken(text))) => {
            println!("broken: {text}");
            record.line(&format!("broken: {text}"));
            1
        }
        _ => {
            println!("could not run");
            record.line("could not run");
            2
        }
    };
    std::process::exit(code);
}
