//! Metrics of the bytes that a process holds for others, and of their connections.

use std::sync::atomic::Ordering;

use alderhaven_core::quantities::ByteSize;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::byte_ledger::LedgerFigures;
use crate::connection_limit::ConnectionFigures;

/// The bytes held and the open connections of a process; clones share their values.
#[derive(Clone, Debug, Default)]
pub struct IntakeMetrics {
    budget: Family<UseLabels, Gauge>,
    held: Family<UseLabels, Gauge>,
    peak: Family<UseLabels, Gauge>,
    evicted: Family<UseLabels, Counter>,
    refused: Family<UseLabels, Counter>,
    connections: Family<AddressLabels, Gauge>,
    replaced: Family<AddressLabels, Counter>,
    turned_away: Family<AddressLabels, Counter>,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct UseLabels {
    of: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AddressLabels {
    address: &'static str,
}

impl IntakeMetrics {
    /// Sets the values of a ledger, `of` a use.
    pub fn set_ledger(&self, of: &'static str, figures: LedgerFigures) {
        let labels = UseLabels { of };
        let set = |family: &Family<UseLabels, Gauge>, size: ByteSize| {
            let bytes = i64::try_from(size.as_bytes()).unwrap_or(i64::MAX);
            family.get_or_create(&labels).set(bytes);
        };
        set(&self.budget, figures.budget);
        set(&self.held, figures.held);
        set(&self.peak, figures.peak);
        let evicted = self.evicted.get_or_create(&labels);
        evicted.inner().store(figures.evicted, Ordering::Relaxed);
        let refused = self.refused.get_or_create(&labels);
        refused.inner().store(figures.refused, Ordering::Relaxed);
    }

    /// Sets the values of the limit of an address.
    pub fn set_limit(&self, address: &'static str, figures: ConnectionFigures) {
        let labels = AddressLabels { address };
        let open = i64::try_from(figures.open).unwrap_or(i64::MAX);
        self.connections.get_or_create(&labels).set(open);
        let replaced = self.replaced.get_or_create(&labels);
        replaced.inner().store(figures.replaced, Ordering::Relaxed);
        let turned_away = self.turned_away.get_or_create(&labels);
        turned_away
            .inner()
            .store(figures.refused, Ordering::Relaxed);
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let own = self.clone();
        registry.register("held_bytes_budget", "Bytes that may be held", own.budget);
        registry.register("held_bytes", "Bytes of bodies that are held", own.held);
        registry.register("held_bytes_peak", "The most bytes that were held", own.peak);
        registry.register(
            "held_evictions",
            "Bodies that gave up their memory to others",
            own.evicted,
        );
        registry.register(
            "held_refusals",
            "Bodies for which there was no memory",
            own.refused,
        );
        registry.register(
            "connections",
            "Open connections by address",
            own.connections,
        );
        registry.register(
            "replaced_connections",
            "Connections that were closed for new ones",
            own.replaced,
        );
        registry.register(
            "refused_connections",
            "New connections that were closed at once",
            own.turned_away,
        );
    }
}
