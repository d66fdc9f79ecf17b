//! Causes of overload.

/// What goes wrong between the begin and the end of the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// A: the deep service slows to a fifth as demand surges to twice its capacity.
    Slow,
    /// B: one team sends ten times its rate.
    Flood,
    /// B with rates: every team may send half as much again as it does at rest.
    RatedFlood,
    /// C: half of the deep targets die, and come back cold.
    Halved,
    /// D, the yardstick: demand surges to twice capacity, with true reports.
    TrueReports,
    /// D: the same with reports that lag by ten seconds.
    LateReports,
    /// D: the same with reports that say anything.
    FalseReports,
    /// E: A, B and C at once, with late reports.
    Everything,
    /// E with the platform out as long as the cause lasts.
    EverythingNoPlatform,
}

/// Demand at rest, as a share of the deep service's capacity.
pub const REST: f64 = 0.7;
/// Demand in a surge, as a multiple of the deep service's capacity.
pub const SURGE: f64 = 2.0;
/// How many times its rate a flooding team sends.
pub const FLOOD: f64 = 10.0;

impl Scenario {
    pub(super) fn slows(self) -> bool {
        matches!(self, Scenario::Slow | Scenario::Everything | Scenario::EverythingNoPlatform)
    }

    pub(super) fn kills(self) -> bool {
        matches!(self, Scenario::Halved | Scenario::Everything | Scenario::EverythingNoPlatform)
    }

    pub(super) fn platform_out(self) -> bool {
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

    /// Each team's rate as a multiple of its demand at rest, where rates are in force.
    pub(super) fn rate_factor(self) -> Option<f64> {
        const ROOM: f64 = 1.5;

        match self {
            Scenario::RatedFlood => Some(ROOM),
            Scenario::Everything | Scenario::EverythingNoPlatform => Some(ROOM * SURGE / REST),
            _ => None,
        }
    }

    /// What the demand of a team is multiplied by while the cause lasts.
    pub(super) fn demand_factor(self, team: usize) -> f64 {
        let surge = if self.surges() { SURGE / REST } else { 1.0 };
        let flood = if self.floods() && team == 0 { FLOOD } else { 1.0 };
        surge * flood
    }
}
