//! Results of an experiment, computed from what callers sent and received.

use mustardpin_world::{Millis, config::Importance, refusal::Reason, table::counter::Retry};

use crate::{
    experiment::{END, OVERLOAD_END, OVERLOAD_START},
    fleet::Fleet,
};

/// A root request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// The number of the request in the fleet.
    pub root: u64,
    /// When it was first sent, counted from the start of the experiment.
    pub at: Millis,
    /// The index of the team that sent it.
    pub team: usize,
    /// The importance of its route.
    pub importance: Importance,
    /// Whether it needs the deep service, directly or through a call.
    pub is_deep: bool,
}

/// A root request and its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Row {
    sent: Sent,
    /// The latency of the complete response, from when the request was first sent; `None` without
    /// one.
    served: Option<Millis>,
}

/// The results of all root requests of an experiment.
#[derive(Debug, Clone)]
pub struct Outcome {
    rows: Vec<Row>,
    teams: usize,
    /// Refusals by all nodes, by reason.
    pub refusals: Vec<(Reason, u64)>,
    /// Retries by all nodes, by reason.
    pub retries: Vec<(Retry, u64)>,
}

impl Outcome {
    pub(super) fn new(fleet: &Fleet, sent: Vec<Sent>, teams: usize) -> Outcome {
        let rows = sent
            .into_iter()
            .map(|sent| {
                let complete =
                    fleet.response_to(sent.root).filter(|received| received.is_complete());
                Row { sent, served: complete.map(|received| received.at - received.sent) }
            })
            .collect();
        let counters = || fleet.sites().map(|site| &fleet.world_at(site).tables().counters);
        let refusals = Reason::ALL
            .iter()
            .map(|&reason| (reason, counters().map(|counters| counters.refusals(reason)).sum()))
            .filter(|(_, count)| *count > 0)
            .collect();
        let retries = Retry::ALL
            .iter()
            .map(|&retry| (retry, counters().map(|counters| counters.retries(retry)).sum()))
            .filter(|(_, count)| *count > 0)
            .collect();
        Outcome { rows, teams, refusals, retries }
    }

    /// Returns the complete responses per second to requests that need the deep service, counted at
    /// the time they arrived.
    pub fn goodput(&self, from: Millis, until: Millis) -> f64 {
        let complete = self.rows.iter().filter(|row| {
            let at = row.served.map(|served| row.sent.at + served);
            row.sent.is_deep && at.is_some_and(|at| at >= from && at < until)
        });
        complete.count() as f64 * 1_000.0 / (until - from).0 as f64
    }

    /// Returns the goodput during the overload, without its first two seconds.
    pub fn goodput_during_overload(&self) -> f64 {
        self.goodput(OVERLOAD_START + Millis::from_secs(2), OVERLOAD_END)
    }

    /// Returns the goodput before the overload, without the first three seconds.
    pub fn goodput_at_rest(&self) -> f64 {
        self.goodput(Millis::from_secs(3), OVERLOAD_START)
    }

    /// Returns the time from the end of the overload until the goodput over the following three
    /// seconds is at least 95% of that before the overload; `None` if that never happens.
    pub fn recovery_time(&self) -> Option<Millis> {
        const STEP: Millis = Millis(500);
        const WINDOW: Millis = Millis::from_secs(3);
        const MIN_SHARE: f64 = 0.95;

        let baseline = self.goodput_at_rest();
        let mut from = OVERLOAD_END;
        while from + WINDOW <= END {
            if self.goodput(from, from + WINDOW) >= MIN_SHARE * baseline {
                return Some(from - OVERLOAD_END);
            }
            from = from + STEP;
        }
        None
    }

    /// Returns the number of matching requests sent during the overload, and the share of them that
    /// was served.
    fn served_of(&self, is_counted: impl Fn(&Sent) -> bool) -> (usize, f64) {
        let during_overload = self.rows.iter().filter(|row| {
            row.sent.at >= OVERLOAD_START && row.sent.at < OVERLOAD_END && is_counted(&row.sent)
        });
        let (mut sent, mut served) = (0, 0);
        for row in during_overload {
            sent += 1;
            served += usize::from(row.served.is_some());
        }
        (sent, served as f64 / sent.max(1) as f64)
    }

    /// Returns the share of requests of one importance, sent during the overload, that was served.
    pub fn served_by_importance(&self, importance: Importance) -> f64 {
        self.served_of(|sent| sent.importance == importance).1
    }

    /// Returns the share of requests of one team, sent during the overload, that was served.
    pub fn served_by_team(&self, team: usize) -> f64 {
        self.served_of(|sent| sent.team == team).1
    }

    /// Returns the lowest share, over all teams except one, of a team's requests sent during the
    /// overload that was served.
    pub fn min_served_share_except(&self, excluded: usize) -> f64 {
        (0..self.teams)
            .filter(|&team| team != excluded)
            .map(|team| self.served_by_team(team))
            .fold(1.0, f64::min)
    }

    /// Returns the share of requests of all teams except one, sent during the overload, that was
    /// not served.
    pub fn unserved_share_except(&self, excluded: usize) -> f64 {
        1.0 - self.served_of(|sent| sent.team != excluded).1
    }

    /// Returns the importance with the largest parts both served and refused: the one whose
    /// requests competed for capacity during the overload.
    pub fn contested_importance(&self) -> Importance {
        let contention = |&importance: &Importance| {
            let (sent, share) =
                self.served_of(|sent| sent.is_deep && sent.importance == importance);
            (sent as f64 * share * (1.0 - share)) as u64
        };
        Importance::NAMED.into_iter().max_by_key(contention).unwrap_or_default()
    }

    /// Returns the lowest ratio, over all teams, of the requests served at the contested importance
    /// to the team's max-min fair share of them, given the weights of the teams.
    pub fn worst_fair_share(&self, weights: &[u32]) -> f64 {
        let importance = self.contested_importance();
        let teams: Vec<(f64, f64)> = (0..self.teams)
            .map(|team| {
                let (sent, share) =
                    self.served_of(|sent| sent.team == team && sent.importance == importance);
                (sent as f64, sent as f64 * share)
            })
            .collect();
        let total = teams.iter().map(|(_, served)| served).sum();
        let demands: Vec<f64> = teams.iter().map(|(sent, _)| *sent).collect();
        let fair = max_min(&demands, weights, total);
        let ratios = teams.iter().zip(fair).map(|((_, served), fair)| served / fair.max(1.0));
        ratios.fold(1.0, f64::min)
    }

    /// Returns a percentile of the latency of complete responses to requests sent during the
    /// overload, client retries included.
    pub fn latency(&self, percentile: f64) -> Millis {
        let mut latencies: Vec<Millis> = self
            .rows
            .iter()
            .filter(|row| row.sent.at >= OVERLOAD_START && row.sent.at < OVERLOAD_END)
            .filter_map(|row| row.served)
            .collect();
        latencies.sort_unstable();
        let index = (latencies.len() as f64 * percentile / 100.0) as usize;
        latencies.get(index.min(latencies.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

/// Returns the weighted max-min fair shares of a total.
fn max_min(demands: &[f64], weights: &[u32], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let need = |team: usize| demands[team] / f64::from(weights[team]);
    order.sort_by(|&one, &other| need(one).total_cmp(&need(other)));
    let mut left = total;
    let mut weight: f64 = weights.iter().copied().map(f64::from).sum();
    let mut shares = vec![0.0; demands.len()];
    for team in order {
        let share = (left * f64::from(weights[team]) / weight).min(demands[team]);
        shares[team] = share;
        left -= share;
        weight -= f64::from(weights[team]);
    }
    shares
}
