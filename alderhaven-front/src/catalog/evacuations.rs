//! The failure domains that operators evacuate.

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::ids::FailureDomain;
use log::Level;

use crate::catalog::Catalog;
use crate::catalog_state::CatalogState;
use crate::evacuated_domain::EvacuatedDomain;
use crate::front_event::FrontEvent;

impl Catalog {
    /// Gets the failure domains that are evacuated, with how long this node has known it.
    #[must_use]
    pub fn evacuated_domains(&self) -> Vec<EvacuatedDomain> {
        let now = self.clock.now();
        let state = self.state();
        let evacuated = state.evacuated_domains.iter();
        evacuated
            .map(|(domain, since)| EvacuatedDomain {
                domain: domain.clone(),
                known_for: now.since(*since),
            })
            .collect()
    }

    /// Applies an evacuation to the targets of its domain at once, those of views that requests have
    /// pinned included.
    pub(super) fn apply_evacuation(&self, state: &mut CatalogState, object: &StoredObject) {
        let domain: FailureDomain = match object.key.name.parse() {
            Ok(domain) => domain,
            Err(error) => {
                let (name, reason) = (object.key.name.clone(), error.to_string());
                FrontEvent::EvacuationUnreadable { name, reason }.emit(Level::Warn);
                return;
            }
        };
        let is_evacuated = object.body.is_some();
        let targets = state.targets.values();
        let targets: Vec<_> = targets
            .filter(|target| target.entry().domain.as_ref() == Some(&domain))
            .cloned()
            .collect();
        for target in &targets {
            target.set_evacuated(is_evacuated);
        }
        let revision = object.version.0;
        let now = self.clock.now();
        if is_evacuated {
            state.evacuated_domains.entry(domain.clone()).or_insert(now);
            FrontEvent::DomainEvacuated {
                domain: domain.to_string(),
                revision,
                targets: targets.len(),
            }
            .emit(Level::Warn);
            return;
        }
        let Some(since) = state.evacuated_domains.remove(&domain) else {
            return;
        };
        for target in &targets {
            // A target may have become cold meanwhile, and its registration says so late.
            if let Some(span) = state.warmup_duration(&target.entry().service) {
                target.warmup().presume_cold(span, now);
            }
        }
        FrontEvent::DomainReturned {
            domain: domain.to_string(),
            revision,
            after_ms: now.since(since).as_millis(),
        }
        .emit(Level::Warn);
    }
}
