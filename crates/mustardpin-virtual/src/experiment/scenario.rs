//! Causes of overload.

/// The cause of the overload, in force from [`OVERLOAD_START`](super::OVERLOAD_START) to
/// [`OVERLOAD_END`](super::OVERLOAD_END).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// A: the deep service slows to a fifth as demand surges to twice its capacity.
    Slow,
    /// B: one team sends ten times its rate.
    Flood,
    /// B with rate limits: each team's rate is 1.5 times its base demand.
    RatedFlood,
    /// C: half of the deep targets crash, and restart cold at the end.
    Halved,
    /// D, the baseline: demand surges to twice capacity, with true reports.
    TrueReports,
    /// D with reports that are ten seconds old.
    LateReports,
    /// D with random reports.
    FalseReports,
    /// E: A, B and C at once, with late reports.
    Everything,
    /// E, and the platform is down from the start of the overload to the end of the experiment.
    EverythingNoPlatform,
}

/// Demand before and after the overload, as a share of the deep service's capacity.
pub const BASE_LOAD: f64 = 0.7;
/// Demand in a surge, as a multiple of the deep service's capacity.
pub const SURGE_LOAD: f64 = 2.0;
/// Factor on the demand of a flooding team.
pub const FLOOD_FACTOR: f64 = 10.0;

impl Scenario {
    pub(super) fn slows(self) -> bool {
        matches!(self, Scenario::Slow | Scenario::Everything | Scenario::EverythingNoPlatform)
    }

    pub(super) fn crashes_targets(self) -> bool {
        matches!(self, Scenario::Halved | Scenario::Everything | Scenario::EverythingNoPlatform)
    }

    pub(super) fn stops_platform(self) -> bool {
        self == Scenario::EverythingNoPlatform
    }

    fn floods(self) -> bool {
        !matches!(
            self,
            Scenario::Slow
                | Scenario::Halved
                | Scenario::TrueReports
                | Scenario::LateReports
                | Scenario::FalseReports
        )
    }

    fn surges(self) -> bool {
        !matches!(self, Scenario::Flood | Scenario::RatedFlood | Scenario::Halved)
    }

    /// Returns each team's rate as a multiple of its base demand; `None` without rate limits.
    pub(super) fn rate_factor(self) -> Option<f64> {
        const RATE_HEADROOM: f64 = 1.5;

        match self {
            Scenario::RatedFlood => Some(RATE_HEADROOM),
            Scenario::Everything | Scenario::EverythingNoPlatform => {
                Some(RATE_HEADROOM * SURGE_LOAD / BASE_LOAD)
            }
            _ => None,
        }
    }

    /// Returns the factor on the demand of a team during the overload.
    pub(super) fn demand_factor(self, team: usize) -> f64 {
        let surge = if self.surges() { SURGE_LOAD / BASE_LOAD } else { 1.0 };
        let flood = if self.floods() && team == 0 { FLOOD_FACTOR } else { 1.0 };
        surge * flood
    }
}
