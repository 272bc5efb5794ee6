//! The status of team limits that a front reports to operators.

use serde::Serialize;

/// The shares of limits as one front sees them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CreditStatus {
    /// The front that is the pool for this one, if any.
    pub pool: Option<String>,
    /// Whether the latest queries to the pool have no reply.
    pub is_pool_silent: bool,
    /// The share of this front that may count at a pool.
    pub delegated_share: f64,
    /// The share of this front that it uses without a pool.
    pub local_share: f64,
    /// The sum of the shares that are delegated to this front.
    pub pool_share: f64,
}
