//! How the routes of one partner crowd the look-up: what bounds the work of a request, whatever a partner tells.

use std::collections::BTreeMap;

use ipnet::IpNet;

use super::route::{Match, Name, Subjects};

/// The least w with 2^w above the distance of the last from the first.
fn width(subjects: &Subjects) -> u8 {
    (64 - subjects.last.saturating_sub(subjects.first).leading_zeros()) as u8
}

/// Which cell of this width a subject is in; a range of that width is in two at the most.
fn cell(subject: u64, width: u8) -> u64 {
    subject.checked_shr(width.into()).unwrap_or(0)
}

/// Whether it is IPv6, and the length; nothing for any address.
fn prefix(matches: &Match) -> Option<(bool, u8)> {
    matches.addresses.map(|net| (matches!(net, IpNet::V6(_)), net.prefix_len()))
}

/// Routes of one partner for alike requests: of one class, tenant, prefix and cell of subjects as wide as they are.
pub const MOST_IN_CELL: usize = 16;
/// Different lengths of prefixes, times different widths of ranges, of one partner for one class and tenant.
pub const MOST_FORMS: usize = 16;

type Whose = (Option<Name>, Option<Name>);
type Form = (Option<(bool, u8)>, u8);

/// How the routes of one partner crowd the index.
#[derive(Clone, Debug, Default)]
pub(super) struct Crowd {
    cells: BTreeMap<(Whose, Option<IpNet>, u8, u64), usize>,
    forms: BTreeMap<Whose, BTreeMap<Form, usize>>,
}

impl Crowd {
    /// Counts a route; false where it is one too many.
    pub(super) fn add(&mut self, matches: &Match) -> bool {
        let whose = (matches.class.clone(), matches.tenant.clone());
        let width = width(&matches.subjects);
        let forms = self.forms.entry(whose.clone()).or_default();
        *forms.entry((prefix(matches), width)).or_default() += 1;
        let has_room = forms.len() <= MOST_FORMS;
        let cells = cell(matches.subjects.first, width)..=cell(matches.subjects.last, width);
        cells.fold(has_room, |has_room, cell| {
            let count = self.cells.entry((whose.clone(), matches.addresses, width, cell)).or_default();
            *count += 1;
            has_room && *count <= MOST_IN_CELL
        })
    }

    /// Counts a route no longer.
    pub(super) fn remove(&mut self, matches: &Match) {
        let whose = (matches.class.clone(), matches.tenant.clone());
        let width = width(&matches.subjects);
        if let Some(forms) = self.forms.get_mut(&whose) {
            less(forms, &(prefix(matches), width));
            if forms.is_empty() {
                self.forms.remove(&whose);
            }
        }
        for cell in cell(matches.subjects.first, width)..=cell(matches.subjects.last, width) {
            less(&mut self.cells, &(whose.clone(), matches.addresses, width, cell));
        }
    }
}

fn less<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
