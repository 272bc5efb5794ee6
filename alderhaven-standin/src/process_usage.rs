//! The memory and descriptors that a process uses, as the kernel counts them.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// The state of a listening socket in `/proc/net/tcp`, whose queue holds connections instead of bytes.
const LISTEN_STATE: &str = "0A";

/// The most that a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Resident memory at its peak, in bytes.
    pub resident_bytes: usize,
    /// Bytes that the kernel holds for connections: received and not read, or sent and not taken.
    pub queued_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads the usage of a process whose connections have the local addresses that `is_local` tells;
    /// `None` if it has ended. The resident memory is that at its peak.
    #[must_use]
    pub fn read(pid: u32, is_local: impl Fn(SocketAddr) -> bool) -> Option<Self> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_kib: usize = peak.trim().strip_suffix(" kB")?.parse().ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
        Some(Self {
            resident_bytes: peak_kib << 10,
            queued_bytes: queued_bytes(is_local),
            descriptors: descriptors.count(),
        })
    }

    /// Combines two usages into the larger of each value.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            resident_bytes: self.resident_bytes.max(other.resident_bytes),
            queued_bytes: self.queued_bytes.max(other.queued_bytes),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

fn queued_bytes(is_local: impl Fn(SocketAddr) -> bool) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let connections = table.lines().skip(1).filter_map(queued_bytes_of);
    let own = connections.filter(|(address, _)| is_local(*address));
    own.map(|(_, bytes)| bytes).sum()
}

/// Parses the local address of a connection and its queued bytes; `None` for a listening socket.
fn queued_bytes_of(row: &str) -> Option<(SocketAddr, usize)> {
    let fields: Vec<&str> = row.split_whitespace().collect();
    let (ip, port) = fields.get(1)?.split_once(':')?;
    // The kernel prints the address in the byte order of the machine.
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    let port = u16::from_str_radix(port, 16).ok()?;
    let address = SocketAddrV4::new(Ipv4Addr::from(ip), port);
    let is_connection = *fields.get(3)? != LISTEN_STATE;
    let (unsent, unread) = fields.get(4)?.split_once(':')?;
    let unsent = usize::from_str_radix(unsent, 16).ok()?;
    let unread = usize::from_str_radix(unread, 16).ok()?;
    is_connection.then_some((SocketAddr::V4(address), unsent + unread))
}
