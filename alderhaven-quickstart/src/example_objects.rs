//! The templates and teams of both example deployments, from the files in `examples/`.

use alderhaven_core::errors::Result;
use alderhaven_core::settings;
use alderhaven_core::team::TeamPolicy;
use alderhaven_core::template::QueryTemplate;
use alderhaven_standin::object_set::ObjectSet;

/// Gets the path and the compiled-in content of an example, so that the binary runs from any
/// directory.
macro_rules! example {
    ($path:literal) => {
        ($path, include_str!(concat!("../../examples/", $path)))
    };
}

/// Path and content of each template.
const TEMPLATE_FILES: [(&str, &str); 11] = [
    example!("volta/templates/duplicate-check.yaml"),
    example!("volta/templates/title-lookup.yaml"),
    example!("volta/templates/record-fetch.yaml"),
    example!("volta/templates/assign-isbn.yaml"),
    example!("volta/templates/prefix-range.yaml"),
    example!("volta/templates/billing-report.yaml"),
    example!("lagerblik/templates/stock-sweep.yaml"),
    example!("lagerblik/templates/find-alternative.yaml"),
    example!("lagerblik/templates/reserve-stock.yaml"),
    example!("lagerblik/templates/depot-record.yaml"),
    example!("lagerblik/templates/monthly-sum.yaml"),
];

/// Path and content of each team.
const TEAM_FILES: [(&str, &str); 9] = [
    example!("volta/teams/publishers.yaml"),
    example!("volta/teams/booksellers.yaml"),
    example!("volta/teams/libraries.yaml"),
    example!("volta/teams/registry-staff.yaml"),
    example!("volta/teams/billing-office.yaml"),
    example!("lagerblik/teams/pharmacies.yaml"),
    example!("lagerblik/teams/shortage-desk.yaml"),
    example!("lagerblik/teams/inspectorate.yaml"),
    example!("lagerblik/teams/statistics-office.yaml"),
];

/// Parses the compiled-in examples; manifests are not among them.
///
/// # Errors
/// `Error::File` if an example can't be parsed.
pub fn load() -> Result<ObjectSet> {
    let templates = TEMPLATE_FILES
        .iter()
        .map(|(path, text)| settings::read_text::<QueryTemplate>(path, text))
        .collect::<Result<_>>()?;
    let teams = TEAM_FILES
        .iter()
        .map(|(path, text)| settings::read_text::<TeamPolicy>(path, text))
        .collect::<Result<_>>()?;
    Ok(ObjectSet {
        templates,
        teams,
        manifests: Vec::new(),
    })
}
