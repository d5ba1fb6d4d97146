//! Ranges of subjects, found by one that is in them: a persistent B-tree by the first subject, where each branch knows the
//! greatest last subject below it (an interval tree: Cormen et al., Introduction to Algorithms, 14.3).

use std::sync::Arc;

use super::merge::Held;
use super::route::Subjects;

/// Entries of a node.
const MOST: usize = 16;

/// Routes for just these subjects, the chosen one first.
#[derive(Clone, Debug)]
pub(super) struct Ranged {
    pub(super) subjects: Subjects,
    pub(super) held: Arc<[Held]>,
    /// None of them is for some tenants or for some time alone: a look-up need not read them to know.
    pub(super) always: bool,
}

impl Ranged {
    pub(super) fn new(subjects: Subjects, held: Arc<[Held]>) -> Self {
        let always = held.iter().all(|held| held.route.restrictions.always_serves());
        Self { subjects, held, always }
    }

    /// Narrower ranges are chosen first.
    pub(super) fn rank(&self) -> (u64, u64) {
        let Subjects { first, last } = self.subjects;
        (last.saturating_sub(first), first)
    }
}

#[derive(Clone, Debug)]
enum Node {
    /// The subjects once more by themselves: they are all that is read of most.
    Leaf(Arc<[Subjects]>, Arc<[Ranged]>),
    Branch(Arc<[Child]>),
}

/// A node that has entries, and what is known of it above.
#[derive(Clone, Debug)]
struct Child {
    /// Its first entry.
    least: Subjects,
    /// The greatest subject in any range of it.
    last: u64,
    node: Node,
}

impl Child {
    fn of(node: Node) -> Option<Self> {
        let (least, last) = match &node {
            Node::Leaf(subjects, _) => {
                (*subjects.first()?, subjects.iter().map(|subjects| subjects.last).max()?)
            }
            Node::Branch(children) => {
                (children.first()?.least, children.iter().map(|child| child.last).max()?)
            }
        };
        Some(Self { least, last, node })
    }
}

/// As one node, or two where it is too much for one.
fn split<T: Clone>(mut all: Vec<T>, node: fn(Vec<T>) -> Node) -> impl Iterator<Item = Node> {
    let rest = if all.len() > MOST { all.split_off(all.len() / 2) } else { Vec::new() };
    [all, rest].into_iter().filter(|part| !part.is_empty()).map(node)
}

impl Node {
    fn leaf(entries: Vec<Ranged>) -> Self {
        Self::Leaf(entries.iter().map(|entry| entry.subjects).collect(), entries.into())
    }

    fn branch(children: Vec<Child>) -> Self {
        Self::Branch(children.into())
    }

    fn len(&self) -> usize {
        match self {
            Self::Leaf(_, entries) => entries.len(),
            Self::Branch(children) => children.len(),
        }
    }

    fn get(&self, subjects: Subjects) -> Option<&Arc<[Held]>> {
        match self {
            Self::Leaf(all, entries) => Some(&entries[all.binary_search(&subjects).ok()?].held),
            Self::Branch(children) => children.get(place(children, subjects))?.node.get(subjects),
        }
    }

    /// The nodes in place of this one: none, one or two.
    fn with(&self, subjects: Subjects, held: Option<Arc<[Held]>>) -> Vec<Node> {
        match self {
            Self::Leaf(_, entries) => {
                let mut all = entries.to_vec();
                match (all.binary_search_by_key(&subjects, |entry| entry.subjects), held) {
                    (Ok(at), Some(held)) => all[at] = Ranged::new(subjects, held),
                    (Ok(at), None) => drop(all.remove(at)),
                    (Err(at), Some(held)) => all.insert(at, Ranged::new(subjects, held)),
                    (Err(_), None) => {}
                }
                split(all, Node::leaf).collect()
            }
            Self::Branch(children) => {
                let at = place(children, subjects);
                let mut all = children.to_vec();
                let new = all[at].node.with(subjects, held);
                drop(all.splice(at..=at, new.into_iter().filter_map(Child::of)));
                unite(&mut all, at);
                unite(&mut all, at.saturating_sub(1));
                split(all, Node::branch).collect()
            }
        }
    }

    /// The narrowest range with a subject in it that is after `than`, where it is before what was found so far.
    fn narrowest<'a>(&'a self, subject: u64, than: Option<(u64, u64)>, found: &mut Option<&'a Ranged>) {
        match self {
            Self::Leaf(all, entries) => {
                let before = all.iter().take_while(|subjects| subjects.first <= subject);
                for (subjects, entry) in before.zip(entries.iter()) {
                    let is_next = subjects.last >= subject
                        && than.is_none_or(|than| entry.rank() > than)
                        && found.is_none_or(|found| entry.rank() < found.rank());
                    if is_next {
                        *found = Some(entry);
                    }
                }
            }
            Self::Branch(children) => {
                let before = children.iter().take_while(|child| child.least.first <= subject);
                before
                    .filter(|child| child.last >= subject)
                    .for_each(|child| child.node.narrowest(subject, than, found));
            }
        }
    }

    fn each<'a>(&'a self, what: &mut impl FnMut(&'a Ranged)) {
        match self {
            Self::Leaf(_, entries) => entries.iter().for_each(what),
            Self::Branch(children) => children.iter().for_each(|child| child.node.each(what)),
        }
    }
}

/// Below which child a range is, or would be.
fn place(children: &[Child], subjects: Subjects) -> usize {
    children.partition_point(|child| child.least <= subjects).saturating_sub(1)
}

/// Makes two neighbours one where both together are half a node.
fn unite(all: &mut Vec<Child>, at: usize) {
    let (Some(one), Some(two)) = (all.get(at), all.get(at + 1)) else { return };
    if one.node.len() + two.node.len() > MOST / 2 {
        return;
    }
    let node = match (&one.node, &two.node) {
        (Node::Leaf(_, one), Node::Leaf(_, two)) => {
            Node::leaf(one.iter().chain(two.iter()).cloned().collect())
        }
        (Node::Branch(one), Node::Branch(two)) => {
            Node::Branch(one.iter().chain(two.iter()).cloned().collect())
        }
        _ => return,
    };
    drop(all.splice(at..=at + 1, Child::of(node)));
}

/// Routes by their ranges of subjects. A clone is a snapshot.
#[derive(Clone, Debug)]
pub(super) struct Ranges(Node);

impl Default for Ranges {
    fn default() -> Self {
        Self(Node::leaf(Vec::new()))
    }
}

impl Ranges {
    pub(super) fn is_empty(&self) -> bool {
        self.0.len() == 0
    }

    /// The routes for just these subjects.
    pub(super) fn get(&self, subjects: Subjects) -> Option<&Arc<[Held]>> {
        self.0.get(subjects)
    }

    /// Has these routes for just these subjects, or none; whether there were any before.
    pub(super) fn put(&mut self, subjects: Subjects, held: Option<Arc<[Held]>>) -> bool {
        let before = self.get(subjects).is_some();
        let mut nodes = self.0.with(subjects, held);
        self.0 = match nodes.len() {
            0 => Node::leaf(Vec::new()),
            1 => nodes.remove(0),
            _ => Node::Branch(nodes.into_iter().filter_map(Child::of).collect()),
        };
        while let Node::Branch(children) = &self.0
            && let [only] = children.as_ref()
        {
            self.0 = only.node.clone();
        }
        before
    }

    /// Those with a subject in them, the narrowest first.
    pub(super) fn found(&self, subject: u64) -> impl Iterator<Item = &Ranged> {
        let mut than = None;
        std::iter::from_fn(move || {
            let mut found = None;
            self.0.narrowest(subject, than, &mut found);
            than = found.map(Ranged::rank);
            found
        })
    }

    /// Looks at all.
    pub(super) fn each<'a>(&'a self, what: &mut impl FnMut(&'a Ranged)) {
        self.0.each(what);
    }
}
