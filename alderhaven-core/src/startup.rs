//! What the long-running binaries share at their start: reading, checking and showing settings.

use std::process::ExitCode;

use argh::FromArgs;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Error;
use crate::settings;

/// The exit code for wrong settings or arguments.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// A `CheckedSettings` is the content of a settings file that can check its own values.
pub trait CheckedSettings: Serialize + DeserializeOwned {
    /// Collects everything that is wrong with the values.
    fn check(&self) -> Vec<Error>;
}

/// A `SettingsRequest` says what the command line wants done with the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsRequest {
    /// Run with them.
    Run,
    /// Check them and exit.
    Check,
    /// Print the effective values and exit.
    Print,
}

impl SettingsRequest {
    /// Gets the request from the two switches of a command line.
    #[must_use]
    pub const fn from_switches(check: bool, print: bool) -> Self {
        if print {
            Self::Print
        } else if check {
            Self::Check
        } else {
            Self::Run
        }
    }
}

/// Reads the command line of the binary `name`.
///
/// # Errors
/// The exit code, after the help (0) or what is wrong (2) was printed.
pub fn parse_arguments<T: FromArgs>(name: &str) -> Result<T, ExitCode> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    T::from_args(&[name], &words).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        eprintln!("{}\nRun {name} --help for more information.", exit.output);
        ExitCode::from(EXIT_BAD_SETTINGS)
    })
}

/// Reads and checks the settings at `path`; returns them where the process is to run.
///
/// # Errors
/// The exit code, after the result was printed: 0 for a good check, 2 for wrong settings.
pub fn load_settings<T: CheckedSettings>(
    path: &str,
    request: SettingsRequest,
) -> Result<T, ExitCode> {
    let loaded: T = settings::read_file(path).map_err(|error| report_errors(&[error]))?;
    let errors: Vec<Error> = loaded
        .check()
        .into_iter()
        .map(|error| Error::file(path, error))
        .collect();
    if !errors.is_empty() {
        return Err(report_errors(&errors));
    }
    match request {
        SettingsRequest::Run => Ok(loaded),
        SettingsRequest::Check => {
            println!("{path}: the settings are good");
            Err(ExitCode::SUCCESS)
        }
        SettingsRequest::Print => {
            match serde_saphyr::to_string(&loaded) {
                Ok(text) => println!("{text}"),
                Err(error) => return Err(report_errors(&[Error::file(path, error)])),
            }
            Err(ExitCode::SUCCESS)
        }
    }
}

fn report_errors(errors: &[Error]) -> ExitCode {
    for error in errors {
        eprintln!("error: {error}");
    }
    ExitCode::from(EXIT_BAD_SETTINGS)
}
