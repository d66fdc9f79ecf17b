//! A node follows its target by the target's reports, some of which are late or false.

use mustardpin_virtual::{Fleet, Service, Site};
use mustardpin_world::{Event, Millis, Options, event::TargetReport};

const SITE: Site = Site(0);

/// A fleet with one node and its target, after five seconds.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(1, Options::default());
    fleet.add("north", Service::leaf("search", 4, 5.0));
    fleet.run_for(Millis::from_secs(5));
    assert!(fleet.world_at(SITE).tables().target.is_open());
    fleet
}

fn last_report(fleet: &Fleet) -> TargetReport {
    fleet.world_at(SITE).tables().target.report.clone()
}

/// Guards against a node that ignores its target for ever after one false report with a start time
/// or a number that is too large.
#[test]
fn a_false_report_is_given_up_when_the_target_keeps_reporting() {
    let false_reports: [fn(&mut TargetReport); 4] = [
        |report| report.sequence = u64::MAX,
        |report| report.started = Millis::MAX,
        |report| (report.started, report.instance) = (Millis::MAX, "other".into()),
        |report| (report.started, report.draining) = (Millis(report.started.0 + 1), true),
    ];
    for (case, change) in false_reports.into_iter().enumerate() {
        let mut fleet = fleet();
        let mut report = last_report(&fleet);
        report.sequence += 1;
        report.warm_up = Millis::MAX;
        change(&mut report);
        fleet.inject(SITE, Event::Target(report.clone()));
        fleet.run_for(Millis(1));
        assert_eq!(last_report(&fleet), report, "case {case}: the false report is taken at first");
        let lost_after = fleet.world_at(SITE).options().target.lost_after;
        fleet.run_for(lost_after + Millis::from_secs(2));
        let target = &fleet.world_at(SITE).tables().target;
        assert!(target.is_open(), "case {case}: {target:?}");
        assert!(target.report.sequence < 20, "case {case}: {target:?}");
        assert!(target.cold_until <= fleet.now, "case {case}: {target:?}");
    }
}

/// Guards against a target that is in use again, by its late reports, after another process has
/// taken its place.
#[test]
fn late_reports_of_an_earlier_process_replace_no_later_one() {
    let mut fleet = fleet();
    let mut late = last_report(&fleet);
    fleet.crash_target(SITE);
    fleet.restart_target(SITE);
    fleet.run_for(Millis::from_secs(2));
    let started = last_report(&fleet).started;
    assert!(started > late.started);
    // While the later process reports, the earlier one is ignored, however long its reports arrive.
    for _ in 0..10 {
        late.sequence += 1;
        fleet.inject(SITE, Event::Target(late.clone()));
        fleet.run_for(Millis::from_secs(1));
        assert_eq!(last_report(&fleet).started, started);
    }
    // Nor is it in use again by reports that arrive together after the later one has ended too.
    fleet.crash_target(SITE);
    late.sequence += 1;
    fleet.inject(SITE, Event::Target(late.clone()));
    fleet.run_for(Millis::from_secs(10));
    for _ in 0..10 {
        late.sequence += 1;
        fleet.inject(SITE, Event::Target(late.clone()));
        fleet.run_for(Millis(100));
        assert!(!fleet.world_at(SITE).tables().target.is_open());
    }
}
