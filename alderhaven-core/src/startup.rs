//! Startup of the binaries: command line arguments, and loading, checking or printing of settings.

use std::process::ExitCode;

use argh::FromArgs;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Error;
use crate::settings;

/// Exit code for invalid settings or arguments.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// Content of a settings file that validates its own values.
pub trait CheckedSettings: Serialize + DeserializeOwned {
    /// Validates the values and returns all errors.
    fn check(&self) -> Vec<Error>;
}

/// What the command line asks a binary to do with its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsRequest {
    /// Run the process with them.
    Run,
    /// Validate them and exit.
    Check,
    /// Print the effective values and exit.
    Print,
}

impl SettingsRequest {
    /// Converts the two command line switches; `print` takes precedence.
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

/// Parses the command line of the binary `name`.
///
/// # Errors
/// The exit code for the process: 0 after the help was printed, 2 after an error was printed.
pub fn parse_arguments<T: FromArgs>(name: &str) -> Result<T, ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    T::from_args(&[name], &arguments).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        eprintln!("{}\nRun {name} --help for more information.", exit.output);
        ExitCode::from(EXIT_BAD_SETTINGS)
    })
}

/// Reads and validates the settings at `path`, and returns them if the process is to run.
///
/// # Errors
/// The exit code for the process: 0 after the result of a check or the values were printed, 2 after
/// errors were printed.
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
