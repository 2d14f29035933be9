//! A stream that began at a software version is never sent to a server of another one.

mod support;

use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{ChoiceError, Outcome, Placement, ServerRequest};
use juniper_registry::{Instance, InstanceMap, InstanceReport, SoftwareVersion};
use quickcheck::{Arbitrary, Gen, quickcheck};
use support::{at, instance, placement, prompt, request};

/// A server's stated version (none for zero) and its trouble.
#[derive(Clone, Copy, Debug)]
struct Situation {
    version: u8,
    trouble: Option<Trouble>,
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Unreachable,
    Departing,
    Backoff,
    Excluded,
}

impl Arbitrary for Situation {
    fn arbitrary(g: &mut Gen) -> Self {
        let troubles =
            [Trouble::Unreachable, Trouble::Departing, Trouble::Backoff, Trouble::Excluded];
        let trouble = g.choose(&troubles).copied().filter(|_| bool::arbitrary(g));
        Situation { version: u8::arbitrary(g) % 4, trouble }
    }
}

fn software(version: u8) -> Option<SoftwareVersion> {
    SoftwareVersion::new(&"v".repeat(usize::from(version)))
}

fn server(number: u16, version: u8) -> Arc<Instance> {
    let report = InstanceReport {
        software: software(version),
        ..InstanceReport::clone(&instance(number, 1).report)
    };
    Arc::new(Instance::of(report))
}

fn bring_about(placement: &mut Placement, server: &Instance, trouble: Trouble) {
    let prompt = prompt(1, 2);
    match trouble {
        Trouble::Departing => {
            placement.record_departure(&server.id, at(1));
        }
        Trouble::Backoff => {
            placement.observe_backoff(&server.id, Duration::from_secs(5), at(1));
        }
        Trouble::Unreachable => {
            // Reaches this server only, since all others are excluded.
            let others: Vec<_> = (1..=40).map(|other| instance(other, 1).id).collect();
            let excluded: Vec<_> = others.into_iter().filter(|id| *id != server.id).collect();
            if let Ok(choice) = placement.choose(&request(&prompt, &excluded), at(1), 7) {
                let ticket = placement.begin_request(&choice, true, at(1));
                placement.end_request(ticket, Outcome::Unreachable, at(2));
            }
        }
        Trouble::Excluded => {}
    }
}

quickcheck! {
    fn a_stream_is_sent_only_to_servers_of_its_version(
        situations: Vec<Situation>, wanted: u8, random: u64
    ) -> bool {
        let mut placement = placement(0);
        let numbered = (1_u16..=40).zip(&situations);
        let servers: Vec<Arc<Instance>> =
            numbered.map(|(number, situation)| server(number, situation.version)).collect();
        placement.set_instances(&servers.iter().cloned().collect::<InstanceMap>());
        for (server, situation) in servers.iter().zip(&situations) {
            if let Some(trouble) = situation.trouble {
                bring_about(&mut placement, server, trouble);
            }
        }
        let is_excluded = |situation: &Situation| matches!(situation.trouble, Some(Trouble::Excluded));
        let excluded: Vec<_> = servers.iter().zip(&situations)
            .filter(|(_, situation)| is_excluded(situation))
            .map(|(server, _)| server.id.clone()).collect();
        let wanted = software(wanted % 3 + 1).expect("a version");
        let prompt = prompt(1, 2);
        let request = ServerRequest { software: Some(&wanted), ..request(&prompt, &excluded) };
        match placement.choose(&request, at(10), random) {
            Ok(choice) => choice.software.as_ref() == Some(&wanted)
                && placement.has_software(request.service, &wanted, &excluded),
            Err(ChoiceError::NoSoftware) => !placement.has_software(request.service, &wanted, &excluded),
            Err(_) => true,
        }
    }
}
