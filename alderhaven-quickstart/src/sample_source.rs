//! The source of sample queries: every template of both deployments, in turn or by a seed.

use alderhaven_core::ids::{TeamId, TemplateName};
use alderhaven_core::parameters::{ParameterSet, ParameterValue};
use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::Uuid;

use crate::sample_query::SampleQuery;

/// The most queries of a run: the numbers of more would not fit into the shortest parameter.
pub const MAX_QUERIES: usize = 100_000;
/// The samples in the order in which a newcomer sees them.
pub const SAMPLE_KINDS: [SampleKind; 11] = [
    SampleKind::DuplicateCheck,
    SampleKind::TitleLookup,
    SampleKind::RecordFetch,
    SampleKind::AssignIsbn,
    SampleKind::PrefixRange,
    SampleKind::BillingReport,
    SampleKind::StockSweep,
    SampleKind::FindAlternative,
    SampleKind::ReserveStock,
    SampleKind::DepotRecord,
    SampleKind::MonthlySum,
];

/// A `SampleKind` is one template of the examples.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SampleKind {
    /// Volta: records of all ledgers that clash with a title.
    DuplicateCheck,
    /// Volta: the best matches of a title.
    TitleLookup,
    /// Volta: one record by its number.
    RecordFetch,
    /// Volta: the assignment of a number, at most once.
    AssignIsbn,
    /// Volta: the assignments of a range of prefixes.
    PrefixRange,
    /// Volta: the fees of a month.
    BillingReport,
    /// Lagerblik: every wholesaler's stock of a drug.
    StockSweep,
    /// Lagerblik: where an alternative is held.
    FindAlternative,
    /// Lagerblik: the reservation of packs, at most once.
    ReserveStock,
    /// Lagerblik: the record of one depot.
    DepotRecord,
    /// Lagerblik: the packs of a month.
    MonthlySum,
}

/// A `SampleSource` makes the queries of one run; the same seed gives the same queries.
///
/// Only the keys of requests that must run at most once differ from run to run, since they carry
/// the time. No two queries of a run have the same parameters, so that a run at a target tells
/// which query it belongs to.
#[derive(Debug)]
pub struct SampleSource {
    rng: StdRng,
    next_number: usize,
}

impl SampleSource {
    /// Returns the source of a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            next_number: 0,
        }
    }

    /// Makes the next query: each template once, then templates at random.
    ///
    /// # Errors
    /// Where a name in this file does not follow the rule for names.
    pub fn next_query(&mut self) -> Result<SampleQuery> {
        let number = self.next_number;
        self.next_number += 1;
        let kind = match SAMPLE_KINDS.get(number) {
            Some(kind) => *kind,
            None => SAMPLE_KINDS[self.rng.random_range(0..SAMPLE_KINDS.len())],
        };
        let (team, token) = kind.team_and_token();
        Ok(SampleQuery {
            number,
            template: kind.template_name().parse::<TemplateName>()?,
            team: team.parse::<TeamId>()?,
            token,
            parameters: self.parameters(kind, number),
            idempotency_key: kind.is_at_most_once().then(Uuid::now_v7),
        })
    }

    fn parameters(&mut self, kind: SampleKind, number: usize) -> ParameterSet {
        let prefix = self.rng.random_range(0..8_000);
        match kind {
            SampleKind::DuplicateCheck => {
                text_parameters([("title", format!("Atlas of the Volta {number}"))])
            }
            SampleKind::TitleLookup => {
                text_parameters([("title", format!("River Songs {number}"))])
            }
            SampleKind::RecordFetch => text_parameters([("isbn", format!("978{number:010}"))]),
            SampleKind::AssignIsbn => text_parameters([
                ("publisher_prefix", format!("{prefix:04}")),
                ("title", format!("New Title {number}")),
                ("format", "paperback".to_owned()),
            ]),
            SampleKind::PrefixRange => text_parameters([
                ("first_prefix", format!("{prefix:04}{number:05}")),
                ("last_prefix", format!("{:04}99999", prefix + 1_000)),
            ]),
            SampleKind::BillingReport | SampleKind::MonthlySum => {
                text_parameters([("month", unique_month(number))])
            }
            SampleKind::StockSweep => text_parameters([("drug", format!("insulin-{number}"))]),
            SampleKind::FindAlternative => {
                text_parameters([("drug", format!("metformin-{number}"))])
            }
            SampleKind::ReserveStock => {
                let mut values = text_parameters([
                    ("depot", format!("depot-{}", prefix % 300)),
                    ("drug", format!("insulin-{number}")),
                ]);
                let packs = ParameterValue::Integer(self.rng.random_range(1..=20));
                values.0.insert("packs".to_owned(), packs);
                values
            }
            SampleKind::DepotRecord => text_parameters([("depot", format!("depot-{number}"))]),
        }
    }
}

impl SampleKind {
    const fn template_name(self) -> &'static str {
        match self {
            Self::DuplicateCheck => "duplicate-check",
            Self::TitleLookup => "title-lookup",
            Self::RecordFetch => "record-fetch",
            Self::AssignIsbn => "assign-isbn",
            Self::PrefixRange => "prefix-range",
            Self::BillingReport => "billing-report",
            Self::StockSweep => "stock-sweep",
            Self::FindAlternative => "find-alternative",
            Self::ReserveStock => "reserve-stock",
            Self::DepotRecord => "depot-record",
            Self::MonthlySum => "monthly-sum",
        }
    }

    /// Gets the team and its bearer token, as the examples give them.
    const fn team_and_token(self) -> (&'static str, Option<&'static str>) {
        match self {
            Self::DuplicateCheck | Self::PrefixRange => {
                ("registry-staff", Some("volta-example-token"))
            }
            Self::TitleLookup => ("booksellers", None),
            Self::RecordFetch => ("libraries", None),
            Self::AssignIsbn => ("publishers", None),
            Self::BillingReport => ("billing-office", None),
            Self::StockSweep => ("shortage-desk", Some("lagerblik-example-token")),
            Self::FindAlternative | Self::ReserveStock => ("pharmacies", None),
            Self::DepotRecord => ("inspectorate", None),
            Self::MonthlySum => ("statistics-office", None),
        }
    }

    const fn is_at_most_once(self) -> bool {
        matches!(self, Self::AssignIsbn | Self::ReserveStock)
    }
}

/// Gets a month that no other query of the run names.
fn unique_month(number: usize) -> String {
    format!("{:04}-{:02}", 2_000 + number / 12, number % 12 + 1)
}

fn text_parameters<const COUNT: usize>(values: [(&str, String); COUNT]) -> ParameterSet {
    let named = values
        .into_iter()
        .map(|(name, value)| (name.to_owned(), ParameterValue::Text(value)));
    ParameterSet(named.collect())
}
