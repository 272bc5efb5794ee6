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
pub const SAMPLES: [SampleKind; 11] = [
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
    next: usize,
}

impl SampleSource {
    /// Returns the source of a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            next: 0,
        }
    }

    /// Makes the next query: each template once, then templates at random.
    ///
    /// # Errors
    /// Where a name in this file does not follow the rule for names.
    pub fn next_query(&mut self) -> Result<SampleQuery> {
        let number = self.next;
        self.next += 1;
        let kind = match SAMPLES.get(number) {
            Some(kind) => *kind,
            None => SAMPLES[self.rng.random_range(0..SAMPLES.len())],
        };
        let (team, token) = kind.team();
        Ok(SampleQuery {
            number,
            template: kind.template().parse::<TemplateName>()?,
            team: team.parse::<TeamId>()?,
            token,
            given: self.values(kind, number),
            key: kind.must_not_repeat().then(Uuid::now_v7),
        })
    }

    fn values(&mut self, kind: SampleKind, number: usize) -> ParameterSet {
        let prefix = self.rng.random_range(0..8_000);
        match kind {
            SampleKind::DuplicateCheck => {
                texts([("title", format!("Atlas of the Volta {number}"))])
            }
            SampleKind::TitleLookup => texts([("title", format!("River Songs {number}"))]),
            SampleKind::RecordFetch => texts([("isbn", format!("978{number:010}"))]),
            SampleKind::AssignIsbn => texts([
                ("publisher_prefix", format!("{prefix:04}")),
                ("title", format!("New Title {number}")),
                ("format", "paperback".to_owned()),
            ]),
            SampleKind::PrefixRange => texts([
                ("first_prefix", format!("{prefix:04}{number:05}")),
                ("last_prefix", format!("{:04}99999", prefix + 1_000)),
            ]),
            SampleKind::BillingReport | SampleKind::MonthlySum => texts([("month", month(number))]),
            SampleKind::StockSweep => texts([("drug", format!("insulin-{number}"))]),
            SampleKind::FindAlternative => texts([("drug", format!("metformin-{number}"))]),
            SampleKind::ReserveStock => {
                let mut values = texts([
                    ("depot", format!("depot-{}", prefix % 300)),
                    ("drug", format!("insulin-{number}")),
                ]);
                let packs = ParameterValue::Integer(self.rng.random_range(1..=20));
                values.0.insert("packs".to_owned(), packs);
                values
            }
            SampleKind::DepotRecord => texts([("depot", format!("depot-{number}"))]),
        }
    }
}

impl SampleKind {
    const fn template(self) -> &'static str {
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
    const fn team(self) -> (&'static str, Option<&'static str>) {
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

    const fn must_not_repeat(self) -> bool {
        matches!(self, Self::AssignIsbn | Self::ReserveStock)
    }
}

/// Gets a month that no other query of the run names.
fn month(number: usize) -> String {
    format!("{:04}-{:02}", 2_000 + number / 12, number % 12 + 1)
}

fn texts<const COUNT: usize>(values: [(&str, String); COUNT]) -> ParameterSet {
    let named = values
        .into_iter()
        .map(|(name, value)| (name.to_owned(), ParameterValue::Text(value)));
    ParameterSet(named.collect())
}
