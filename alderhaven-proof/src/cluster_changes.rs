//! Changes to a running cluster: further target processes, a new manifest, a restart of the
//! platform.

use std::net::SocketAddr;

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::ids::SnapshotId;
use alderhaven_core::manifest::SnapshotManifest;
use alderhaven_core::store_version::StoreVersion;
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
    /// Creates a client of the platform.
    ///
    /// # Errors
    /// The platform reported no address.
    pub fn platform_client(&self) -> Result<PlatformClient> {
        Ok(PlatformClient::new(self.platform.address("address")?))
    }

    /// Returns the operator addresses of all nodes, entries before relays.
    ///
    /// # Errors
    /// A node reported no operator address.
    pub fn operator_addresses(&self) -> Result<Vec<SocketAddr>> {
        let nodes = self.entries.iter().chain(&self.relays);
        nodes.map(|node| node.address("operator")).collect()
    }

    /// Starts additional target processes with another index version, and returns the unpublished
    /// manifest of these processes alone.
    ///
    /// # Errors
    /// A process can't be started.
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

    /// Writes a manifest to the platform, over the current one.
    ///
    /// # Errors
    /// The platform can't be reached or refuses the write.
    pub async fn publish_manifest(&self, manifest: &SnapshotManifest) -> Result<StoreVersion> {
        let key = ObjectKey {
            kind: ObjectKind::Manifest,
            name: manifest.service.to_string(),
        };
        let body = serde_json::to_string(manifest)?;
        self.platform_client()?.put(&key, body).await
    }

    /// Waits until all nodes have applied every change up to a version.
    ///
    /// # Errors
    /// The condition does not hold in time.
    pub async fn await_in_force(&self, version: StoreVersion) -> Result<()> {
        let operators = self.operator_addresses()?;
        condition::until(&format!("revision {version} at all nodes"), async || {
            for operator in &operators {
                if operator_view::config_revision(*operator).await? < Some(version.revision) {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
        .await
    }

    /// Waits until the debug dump of every node satisfies `probe`.
    ///
    /// # Errors
    /// The condition does not hold in time.
    pub async fn await_all_dumps(
        &self,
        description: &str,
        probe: impl Fn(&Value) -> bool,
    ) -> Result<()> {
        let operators = self.operator_addresses()?;
        condition::until(description, async || {
            for operator in &operators {
                if !probe(&operator_view::get_json(*operator, "/debug/dump").await?) {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
        .await
    }

    /// Kills the platform and restarts it at the same address with its initial objects, so that
    /// later writes are lost.
    ///
    /// # Errors
    /// The platform can't be started.
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

    /// Writes a file for `alderctl` and returns its path.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write_file(&self, name: &str, content: &impl serde::Serialize) -> Result<String> {
        self.files.write_json(name, content)
    }

    /// Returns a path in the scratch directory, where no file needs to exist.
    #[must_use]
    pub fn file_path(&self, name: &str) -> String {
        self.files.file_path(name)
    }
}
