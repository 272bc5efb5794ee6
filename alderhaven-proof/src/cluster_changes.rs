//! Changes of a running cluster: more targets, a new manifest, a restarted platform.

use std::net::SocketAddr;

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::ids::{SnapshotId, StoreVersion};
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_standin::service_layout::ServiceLayout;
use eyre::Result;
use serde_json::Value;

use crate::child_process::ChildProcess;
use crate::cluster;
use crate::cluster::TestCluster;
use crate::cluster_options::ClusterOptions;
use crate::condition;
use crate::operator_view;
use crate::platform_client::PlatformClient;

impl TestCluster {
    /// Gets the platform's calls.
    ///
    /// # Errors
    /// Where the platform told no address.
    pub fn platform_client(&self) -> Result<PlatformClient> {
        Ok(PlatformClient::new(self.platform.address("address")?))
    }

    /// Gets the operator addresses of all nodes.
    ///
    /// # Errors
    /// Where a node told none.
    pub fn operator_addresses(&self) -> Result<Vec<SocketAddr>> {
        let nodes = self.entries.iter().chain(&self.relays);
        nodes.map(|node| node.address("operator")).collect()
    }

    /// Starts target processes beside the ones that run, which hold another version, and gets the
    /// manifest of the new ones alone; it is not published yet.
    ///
    /// # Errors
    /// Where a process can't be started.
    pub fn start_version(
        &mut self,
        options: &ClusterOptions,
        layout: &ServiceLayout,
        snapshot: SnapshotId,
    ) -> Result<SnapshotManifest> {
        let first = self.targets.len();
        let targets = cluster::start_targets(&self.binaries, &self.files, options, layout)?;
        self.targets.extend(targets);
        cluster::build_manifest(&self.targets, first, options, layout, snapshot)
    }

    /// Publishes a manifest.
    ///
    /// # Errors
    /// Where the platform refuses.
    pub async fn publish_manifest(&self, manifest: &SnapshotManifest) -> Result<StoreVersion> {
        let key = ObjectKey {
            kind: ObjectKind::Manifest,
            name: manifest.service.to_string(),
        };
        let body = serde_json::to_string(manifest)?;
        self.platform_client()?.put(&key, body).await
    }

    /// Waits until all nodes have every change up to a version in force.
    ///
    /// # Errors
    /// Where that does not come about in time.
    pub async fn await_in_force(&self, version: StoreVersion) -> Result<()> {
        let operators = self.operator_addresses()?;
        condition::until(&format!("revision {version} everywhere"), async || {
            for operator in &operators {
                if operator_view::config_revision(*operator).await? < Some(version.0) {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
        .await
    }

    /// Waits until the dump of every node fulfils `probe`.
    ///
    /// # Errors
    /// Where that does not come about in time.
    pub async fn await_all_dumps(&self, what: &str, probe: impl Fn(&Value) -> bool) -> Result<()> {
        let operators = self.operator_addresses()?;
        condition::until(what, async || {
            for operator in &operators {
                if !probe(&operator_view::get_json(*operator, "/debug/dump").await?) {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
        .await
    }

    /// Ends the platform and starts it again at its address, with what it held at its first start.
    ///
    /// # Errors
    /// Where it can't be started.
    pub fn restart_platform(&mut self) -> Result<()> {
        let address = self.platform.address("address")?;
        self.platform.kill()?;
        let arguments = [
            "platform",
            "--listen",
            &address.to_string(),
            "--load",
            &self.objects_file,
        ];
        let arguments = arguments.map(str::to_owned);
        self.platform = ChildProcess::start("platform", &self.binaries.standin, &arguments)?;
        Ok(())
    }

    /// Writes a file for the operators' tool and gets its path.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn write_file(&self, name: &str, content: &impl serde::Serialize) -> Result<String> {
        self.files.write_json(name, content)
    }

    /// Gets the path of a file that is not there yet.
    #[must_use]
    pub fn file_path(&self, name: &str) -> String {
        self.files.file_path(name)
    }
}
