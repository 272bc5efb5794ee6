//! Ages of the proofs that a front has.

use alderhaven_core::time::TimeSpan;

/// Ages of the proofs that a front has.
#[derive(Clone, Copy, Debug)]
pub struct ProofAges {
    /// Age of the proof that counts; `None` without one.
    pub confirmed: Option<TimeSpan>,
    /// Age of the latest proof, including those for a version that is not held yet.
    pub latest: Option<TimeSpan>,
}
