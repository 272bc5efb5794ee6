//! Membership: which processes of the system there are, and which of them take work.
//!
//! Load pattern: hundreds of entries and relays of which some restart, stop, freeze or lose each
//! other at any time. If every process checked every other one, the cost of a process would grow
//! with the fleet; if only a few did, their loss would blind the others. Here each process probes
//! one random member a period, asks a few others to probe where an answer is missing, and news
//! travels on the messages that are sent anyway (SWIM). The cost of a process at rest does not
//! depend on the number of members.
//!
//! Membership only decides where work is sent. Nothing that must be agreed rests on it.

pub mod config_report_tracker;
mod contact_list;
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
