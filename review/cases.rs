//! Stand-ins and cases of the review: `cases NAME FOLDER` runs one case and writes `record.txt`
//! into the folder.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

mod backend;
mod client;
mod deployment;
mod drain_case;
mod http;
mod record;
mod spoiled_case;
mod store;

/// What a case found out.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case needs to run.
pub struct CaseSetup {
    /// The root of the repository.
    pub root: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    pub record: record::Record,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    match run(&name, Path::new(&folder)) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}

fn run(name: &str, folder: &Path) -> Result<Verdict, String> {
    let setup = CaseSetup {
        root: std::env::current_dir().map_err(|error| error.to_string())?,
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        record: record::Record::create(&folder.join("record.txt"))?,
    };
    let record = setup.record.clone();
    let trouble = if setup.has_trouble { "with" } else { "without" };
    record.note(&format!("case {name}, {trouble} the disruption"));
    let result = match name {
        "drain" => drain_case::run(setup),
        "spoiled" => spoiled_case::run(setup),
        _ => Err(format!("unknown case {name}")),
    };
    match &result {
        Ok(Verdict::Held) => record.note("VERDICT: the rule held"),
        Ok(Verdict::Broken) => record.note("VERDICT: the rule was broken"),
        Err(reason) => record.note(&format!("VERDICT: could not run: {reason}")),
    }
    result
}
