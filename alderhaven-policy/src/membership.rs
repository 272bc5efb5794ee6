//! Group membership: which processes exist and which of them accept work.
//!
//! A SWIM-style protocol. Each process probes one random member a period, asks a few others to
//! probe a member that does not answer, and piggybacks updates on the messages that it sends
//! anyway. The cost of an idle process does not depend on the size of the group.
//!
//! Membership only decides where work is sent; correctness never depends on it.

pub mod config_report_tracker;
mod contact_list;
pub mod digest_progress;
mod dissemination;
pub mod gossip_message;
pub mod group_membership;
mod maintenance;
pub mod member_entry;
mod member_lifecycle;
pub mod member_machine;
pub mod member_record;
pub mod membership_options;
mod probing;
mod state_sync;
pub mod store_answer;
mod update_handling;
pub mod update_queue;
