//! Evacuated failure domains in the catalog.

use alderhaven_core::config_object::StoredObject;
use alderhaven_core::ids::FailureDomain;
use log::Level;

use crate::catalog::Catalog;
use crate::catalog_state::CatalogState;
use crate::evacuated_domain::EvacuatedDomain;
use crate::front_event::FrontEvent;

impl Catalog {
    /// Gets the evacuated failure domains and how long this node has known of each evacuation.
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

    /// Applies an evacuation, or its removal, to the targets of the domain. Targets are shared
    /// between views, so requests with an older view see it as well.
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
        let revision = object.version.revision;
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
            // A target may have restarted during the evacuation, and its registration may not say
            // yet that it is cold.
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
