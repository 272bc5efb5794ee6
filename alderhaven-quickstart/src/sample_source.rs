//! Generates sample queries for every template of both deployments from a seed.

use alderhaven_core::ids::{TeamId, TemplateName};
use alderhaven_core::parameters::{ParameterSet, ParameterValue};
use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::Uuid;

use crate::sample_query::SampleQuery;

/// The limit of queries of a run; higher numbers would not fit into the shortest parameter.
pub const MAX_QUERIES: usize = 100_000;
/// All kinds, in the order of the first queries of a run.
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

/// One template of the examples.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SampleKind {
    /// Volta: the records of all ledgers that conflict with a title.
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
    /// Lagerblik: where an alternative drug is in stock.
    FindAlternative,
    /// Lagerblik: the reservation of packs, at most once.
    ReserveStock,
    /// Lagerblik: the record of one depot.
    DepotRecord,
    /// Lagerblik: the packs of a month.
    MonthlySum,
}

/// Generates the queries of one run; the same seed gives the same queries.
///
/// Only idempotency keys differ between runs, since they contain the time. No two queries of a
/// template have the same parameters, so that runs at targets can be assigned to queries.
#[derive(Debug)]
pub struct SampleSource {
    rng: StdRng,
    next_number: usize,
}

impl SampleSource {
    /// Returns a source that starts with query number 0.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            next_number: 0,
        }
    }

    /// Generates the next query: each template once, then random ones.
    ///
    /// # Errors
    /// If a template or team name in this file is invalid.
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

    /// Gets a team that may use the template, and its bearer token if it needs one.
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

/// Gets a month that is unique to the query `number`.
fn unique_month(number: usize) -> String {
    format!("{:04}-{:02}", 2_000 + number / 12, number % 12 + 1)
}

fn text_parameters<const COUNT: usize>(values: [(&str, String); COUNT]) -> ParameterSet {
    let named = values
        .into_iter()
        .map(|(name, value)| (name.to_owned(), ParameterValue::Text(value)));
    ParameterSet(named.collect())
}
