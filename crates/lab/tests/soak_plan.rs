//! Random fault plans of a soak: timing, no overlap within a part, and coverage of all
//! kinds.

use std::time::Duration;

use juniper_lab::soak::{Fault, Part, PartSizes, PlannedFault, draw};

const DURATION: Duration = Duration::from_secs(60);
const SIZES: PartSizes = PartSizes { engines: 6, routers: 4, control: 3 };

fn of_part(plan: &[PlannedFault], part: Part) -> Vec<PlannedFault> {
    plan.iter().copied().filter(|planned| planned.part == part).collect()
}

#[test]
fn faults_of_a_part_do_not_overlap_and_end_before_the_last_fifth() {
    for seed in 0..200 {
        let plan = draw(seed, DURATION, SIZES);
        assert!(plan.iter().all(|planned| planned.until <= DURATION.mul_f64(0.8)));
        for part in [Part::Engines, Part::Routers, Part::Control, Part::Links] {
            let faults = of_part(&plan, part);
            assert!(faults.windows(2).all(|pair| pair[0].until < pair[1].at), "seed {seed}");
        }
    }
}

#[test]
fn faults_of_different_parts_overlap_and_all_kinds_occur() {
    let plans: Vec<_> = (0..50).map(|seed| draw(seed, DURATION, SIZES)).collect();
    let all = plans.concat();
    let kinds = [Fault::Kill, Fault::PlannedStop, Fault::Freeze, Fault::Cut, Fault::AnswersLost];
    assert!(kinds.iter().all(|kind| all.iter().any(|planned| planned.fault == *kind)));
    let overlap = |plan: &Vec<PlannedFault>| {
        plan.windows(2).any(|pair| pair[0].part != pair[1].part && pair[1].at < pair[0].until)
    };
    assert!(plans.iter().all(overlap));
}

#[test]
fn plans_are_deterministic_by_seed_and_spare_two_control_replicas() {
    assert_eq!(draw(7, DURATION, SIZES), draw(7, DURATION, SIZES));
    assert_ne!(draw(7, DURATION, SIZES), draw(8, DURATION, SIZES));
    let plan = draw(7, DURATION, PartSizes { control: 2, ..SIZES });
    assert!(of_part(&plan, Part::Control).is_empty());
}
