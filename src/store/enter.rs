//! A member from an opened directory to a running one: it finds or forms its cluster, has its mark confirmed, and only
//! then takes part. What the directory turns out not to be ends the session.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use log::{info, warn};
use openraft::{Raft, SnapshotPolicy};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::config::StoreOptions;

use super::decide::entry::{self, Entry};
use super::decide::identity::{Identity, Marked, Standing, weigh};
use super::decide::members::Place;
use super::disk::{Disk, DiskError, Opened};
use super::door::{Door, locked};
use super::election::{self, Elections};
use super::map::{Contents, StateMachine};
use super::member::Member;
use super::wire::{self, About, GREETING, Heard, Message, Network};
use super::writer::Writer;
use super::{Answer, Change, Query, StoreError, steward};

/// How many times slower a member without a socket beats and stands for election.
const ALONE: u32 = 10;
/// Log entries between two snapshots, and those before the last one that are kept for members that are behind.
const SNAPSHOT_LOGS: u64 = 500;
const KEEP_LOGS: u64 = 250;
/// Time between two tries to find the other members.
const LOOK: Duration = Duration::from_millis(250);
/// Tries between two lines of the log that say what a member waits for.
const SAY_EVERY: u32 = 40;
/// How long a member waits to hear from all others before as many as a majority needs are enough.
const ALL_OTHERS: Duration = Duration::from_secs(2);
/// Time between two marks while something is written.
const MARK: Duration = Duration::from_secs(5);

/// Why a session ends.
#[derive(Debug)]
pub(super) enum End {
    /// The directory is not this member's, or no longer: it is set aside, and a blank one takes its place.
    SetAside(String),
    /// The directory cannot be written, or the consensus library stopped.
    Reopen(String),
}

/// A member with one directory as it was found.
pub(super) struct Session {
    pub door: Arc<Door>,
    options: Arc<StoreOptions>,
    from: Option<IpAddr>,
    shown: Arc<watch::Sender<Contents>>,
}

impl Session {
    pub fn open(
        options: Arc<StoreOptions>,
        listen: Option<SocketAddr>,
        shown: Arc<watch::Sender<Contents>>,
    ) -> Result<Self, StoreError> {
        let Opened { disk, identity, copied } = Disk::open(options.directory.as_deref(), rand::random())?;
        if let Some(copied) = copied {
            warn!(
                "the store's directory is a copy of member {copied:016x}'s, or an old one: it is set aside, and this \
                 member is {:016x}, which has promised nothing",
                identity.member
            );
        }
        let address = match options.address {
            Some(address) => address.to_string(),
            None => listen.map_or_else(String::new, |listen| listen.to_string()),
        };
        let place = Place { number: options.id, address, spare: options.spare };
        let door = Door::new(disk, place, identity);
        Ok(Self { door: Arc::new(door), options, from: listen.map(|listen| listen.ip()), shown })
    }

    /// Takes the directory out of the way.
    pub fn set_aside(&self) -> Result<(), DiskError> {
        self.door.disk.set_aside(&self.door.identity())
    }

    /// Ends what runs still.
    pub async fn stop(&self) {
        let member = locked(&self.door.member).take();
        if let Some(member) = member {
            let _ = member.raft.shutdown().await;
        }
    }

    /// Lives until the directory is not to be used any more.
    pub async fn live(
        &self,
        name: &str,
        configuration: watch::Receiver<String>,
        initial: Option<(String, String)>,
    ) -> End {
        let ended = async {
            self.enter().await?;
            let mut tasks = JoinSet::new();
            if self.door.disk.members()?.is_none() {
                tasks.spawn(spread(self.door.clone(), self.from));
            }
            if let Some(end) = self.confirm().await? {
                return Ok(end);
            }
            let member = self.run().await?;
            tasks.spawn(steward::watch_duties(member.clone()));
            tasks.spawn(steward::tell_holders(member.clone()));
            if !self.is_alone() {
                tasks.spawn(steward::keep(member.clone()));
                tasks.spawn(steward::give_way(member.clone()));
                tasks.spawn(member.elections.clone().stand(member.raft.clone()));
            }
            tasks.spawn(keep_configuration(member.clone(), name.to_owned(), configuration));
            if let Some((key, value)) = initial {
                tasks.spawn(set_initial(member.clone(), key, value));
            }
            self.watch(&member).await
        };
        match ended.await {
            Ok(end) => end,
            Err(problem) => End::Reopen(problem.to_string()),
        }
    }

    fn wait_for(&self, what: &str, say: bool) {
        if say {
            warn!("the store's member {} waits: {what}", self.options.id);
        }
        *locked(&self.door.waits) = format!("this member of the store is not running yet: {what}");
    }

    /// Finds a cluster to belong to, or forms one.
    async fn enter(&self) -> Result<(), StoreError> {
        let mut tries = 0;
        while self.door.identity().cluster.is_none() {
            let identity = self.door.identity();
            let named = self.look_round().await;
            // Another member may have taken this one in meanwhile.
            match entry::next(identity.member, &self.door.place, !self.options.joins, &named) {
                _ if self.door.identity().cluster.is_some() => {}
                Entry::Form(founders) => {
                    let cluster = rand::random();
                    info!("a store is formed of {} members, cluster {cluster:016x}", founders.len());
                    let adopted = self.door.adopt(cluster, identity.member, Some(founders));
                    adopted.map_err(StoreError::Raft)?;
                }
                Entry::Ask { cluster, at } => self.ask_in(&identity, cluster, &at, tries).await?,
                Entry::Wait(why) => self.wait_for(&why, tries % SAY_EVERY == 1),
            }
            if self.door.identity().cluster.is_none() {
                tries += 1;
                tokio::select! {
                    () = sleep(LOOK) => {}
                    () = self.door.adopted.notified() => {}
                }
            }
        }
        Ok(())
    }

    /// Asks each member that the operator's file names who it is.
    async fn look_round(&self) -> BTreeMap<u64, entry::Seen> {
        let mut asked = JoinSet::new();
        for peer in &self.options.peers {
            let (number, address, from) = (peer.id, peer.address.to_string(), self.from);
            asked.spawn(async move {
                let about = wire::once::<About>(&address, from, &Message::Hello, GREETING).await;
                let seen = match about {
                    Err(problem) => entry::Seen::Silent(problem.to_string()),
                    Ok(about) if about.place.number != number => entry::Seen::Misnamed(about.place.number),
                    Ok(About { member, place, cluster: None }) => entry::Seen::Blank { member, place },
                    Ok(About { cluster: Some(cluster), .. }) => entry::Seen::Belongs { cluster, address },
                };
                (number, seen)
            });
        }
        asked.join_all().await.into_iter().collect()
    }

    async fn ask_in(
        &self,
        identity: &Identity,
        cluster: u64,
        at: &[String],
        tries: u32,
    ) -> Result<(), StoreError> {
        let query = Query::Admit { member: identity.member, place: self.door.place.clone() };
        let message = Message::Asked(query);
        for address in at {
            let why = match wire::once(address, self.from, &message, ALL_OTHERS * 3).await {
                Ok(Answer::Admitted(into)) => {
                    info!(
                        "this member comes into cluster {into:016x} as a learner, {:016x}",
                        identity.member
                    );
                    return self.door.adopt(into, identity.member, None).map_err(StoreError::Raft);
                }
                Ok(Answer::Failed(why) | Answer::NotDone(why) | Answer::Unsure(why)) => why,
                Ok(other) => format!("{other:?}"),
                Err(problem) => problem.to_string(),
            };
            let why = format!("cluster {cluster:016x} does not take it in yet, says {address}: {why}");
            self.wait_for(&why, tries % SAY_EVERY == 1);
        }
        Ok(())
    }

    /// Raises the mark and has it kept by others before this member's voice counts for anything.
    async fn confirm(&self) -> Result<Option<End>, StoreError> {
        let began = Instant::now();
        let own = self.door.identity().member;
        let (known, change) = self.known()?;
        let others: BTreeMap<u64, Place> = known.into_iter().filter(|(word, _)| *word != own).collect();
        let words: BTreeSet<u64> = others.keys().copied().collect();
        // Those that the operator's file names may know of a change that this directory does not have.
        let named = self.options.peers.iter().map(|peer| peer.address.to_string());
        let asked: BTreeSet<String> =
            others.values().map(|place| place.address.clone()).chain(named).collect();
        let mut tries = 0;
        loop {
            let before = self.door.identity().mark;
            self.door.raise(before + 1)?;
            let said = tell_mark(&self.door, self.from, &asked, before, before + 1).await;
            let patient = began.elapsed() < ALL_OTHERS;
            let why = match weigh(&words, &said, change, patient) {
                Standing::Confirmed => return Ok(None),
                Standing::Older => {
                    let why = "its directory is older than what the others have seen of it";
                    return Ok(Some(End::SetAside(why.to_owned())));
                }
                Standing::Removed => {
                    return Ok(Some(End::SetAside("it was taken out of the members meanwhile".to_owned())));
                }
                Standing::Foreign(cluster) => {
                    format!("the members that it knows are of another cluster now, {cluster:016x}")
                }
                Standing::Wait => format!(
                    "{} of its {} fellow voters must say that its directory is not an old copy before it takes \
                     part; {} answered",
                    words.len().div_ceil(2),
                    words.len(),
                    said.len()
                ),
            };
            if !patient {
                self.wait_for(&why, tries % SAY_EVERY == 0);
                tries += 1;
            }
            sleep(if patient { LOOK } else { ALL_OTHERS / 2 }).await;
        }
    }

    /// The voters as this member's directory has them, and the index of the change that made them so.
    fn known(&self) -> Result<(BTreeMap<u64, Place>, u64), StoreError> {
        let disk = &self.door.disk;
        Ok(match disk.members()? {
            Some(stored) => {
                let voters: BTreeSet<u64> = stored.voter_ids().collect();
                let all = stored.nodes().map(|(word, place)| (*word, place.clone()));
                let index = stored.log_id().map_or(0, |log| log.index);
                (all.filter(|(word, _)| voters.contains(word)).collect(), index)
            }
            None => (disk.founders()?.unwrap_or_default(), 0),
        })
    }

    fn is_alone(&self) -> bool {
        self.options.listen.is_none()
    }

    async fn run(&self) -> Result<Member, StoreError> {
        // A member that can have no others has nobody to beat for.
        let slower = if self.is_alone() { ALONE } else { 1 };
        let ms = |time: Duration| (time * slower).as_millis() as u64;
        let config = openraft::Config {
            cluster_name: "sillflow".to_owned(),
            heartbeat_interval: ms(election::HEARTBEAT),
            // The library's own timer is on where there are no others. Its shorter time bounds requests for votes, too, and
            // its longer one is the lease.
            enable_elect: self.is_alone(),
            election_timeout_min: ms(election::ANSWER_WITHIN),
            election_timeout_max: ms(election::LEASE),
            snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_LOGS),
            max_in_snapshot_log_to_keep: KEEP_LOGS,
            ..openraft::Config::default()
        };
        let config = Arc::new(config.validate().map_err(|e| StoreError::raft(&e))?);
        let identity = self.door.identity();
        let (own, cluster) = (identity.member, identity.cluster.unwrap_or_default());
        let heard = Heard::default();
        let silent = Arc::<AtomicBool>::default();
        let elections = Elections::new();
        let network = Network {
            cluster,
            member: own,
            own: self.from,
            heard: heard.clone(),
            silent: silent.clone(),
            elections: elections.clone(),
        };
        let disk = self.door.disk.clone();
        let machine = StateMachine::new(disk.clone(), self.shown.clone())?;
        let raft = Raft::new(own, config, network, disk.clone(), machine).await;
        let raft = raft.map_err(|e| StoreError::raft(&e))?;
        if !raft.is_initialized().await.map_err(|e| StoreError::raft(&e))?
            && let Some(founders) = disk.founders::<BTreeMap<u64, Place>>()?
            && let Err(problem) = raft.initialize(founders).await
        {
            // Each founder is told the same members; one that has heard of the others meanwhile says so.
            warn!("the store's members are not set up anew: {problem}");
        }
        let member = Member {
            own,
            cluster,
            place: self.door.place.clone(),
            from: self.from,
            writer: Writer::start(raft.clone()),
            raft,
            contents: self.shown.subscribe(),
            heard,
            silent,
            elections,
            options: self.options.clone(),
            level: Arc::default(),
            has_written: Arc::default(),
        };
        *locked(&self.door.member) = Some(member.clone());
        Ok(member)
    }

    /// Raises the mark while something is written, and ends the session where the member stops, is taken out or finds
    /// that another one goes by its name.
    async fn watch(&self, member: &Member) -> Result<End, StoreError> {
        let mut metrics = member.raft.metrics();
        let (mut marked, mut said, mut trouble) = (None, None, None);
        loop {
            if let Err(problem) = &metrics.borrow_and_update().running_state {
                return Ok(End::Reopen(problem.to_string()));
            }
            tokio::select! {
                () = stopped(&mut metrics) => {}
                () = self.door.disk.failed() => {
                    return Ok(End::Reopen("something could not be written".to_owned()));
                }
                () = sleep(MARK) => {}
            }
            let now = member.trouble();
            if now != said && now == trouble {
                match &now {
                    Some(trouble) => warn!("the store: {trouble}"),
                    None => info!("the store serves"),
                }
                said = now.clone();
            }
            trouble = now;
            let seen = member.metrics();
            let before = self.door.identity().mark;
            let grown = seen.last_log_index != marked;
            if grown {
                marked = seen.last_log_index;
                self.door.raise(before + 1)?;
            }
            let now = before + u64::from(grown);
            let members = &seen.membership_config;
            let others = members.nodes().filter(|(word, _)| **word != member.own);
            let asked: BTreeSet<String> = others.map(|(_, place)| place.address.clone()).collect();
            let said = tell_mark(&self.door, self.from, &asked, before, now).await;
            let as_of = members.log_id().map_or(0, |log| log.index);
            match weigh(&BTreeSet::new(), &said, as_of, true) {
                Standing::Older => {
                    return Ok(End::SetAside("another process goes by this member's word".to_owned()));
                }
                Standing::Removed => {
                    return Ok(End::SetAside("it was taken out of the members".to_owned()));
                }
                _ => {}
            }
        }
    }
}

/// Resolves when the consensus library has stopped.
async fn stopped(metrics: &mut watch::Receiver<openraft::RaftMetrics<u64, Place>>) {
    let _ = metrics.wait_for(|metrics| metrics.running_state.is_err()).await;
}

/// Tells others of a mark; what those said that answered.
async fn tell_mark(
    door: &Door,
    from: Option<IpAddr>,
    addresses: &BTreeSet<String>,
    before: u64,
    now: u64,
) -> Vec<Marked> {
    let identity = door.identity();
    let (cluster, member) = (identity.cluster.unwrap_or_default(), identity.member);
    let mut asked = JoinSet::new();
    for address in addresses {
        let address = address.clone();
        asked.spawn(async move {
            let message = Message::Mark { cluster, member, before, now };
            wire::once::<Result<Marked, String>>(&address, from, &message, GREETING).await
        });
    }
    asked.join_all().await.into_iter().filter_map(|said| said.ok()?.ok()).collect()
}

/// Tells the founders of a new cluster that they belong to it, until one of them leads.
async fn spread(door: Arc<Door>, from: Option<IpAddr>) {
    let Ok(Some(founders)) = door.disk.founders::<BTreeMap<u64, Place>>() else { return };
    let Identity { member: own, cluster, .. } = door.identity();
    let led = || door.member().is_some_and(|member| member.metrics().current_leader.is_some());
    while !led() {
        for (word, place) in founders.iter().filter(|(word, _)| **word != own) {
            let cluster = cluster.unwrap_or_default();
            let message = Message::Adopt { cluster, member: *word, founders: Some(founders.clone()) };
            let told = wire::once::<Result<(), String>>(&place.address, from, &message, GREETING).await;
            if let Ok(Err(problem)) = told {
                warn!("member {} does not come into the store: {problem}", place.number);
            }
        }
        sleep(LOOK).await;
    }
}

/// Sets a key, unless it is there.
async fn set_initial(member: Member, key: String, value: String) {
    let change = Change { key, value: Some(value), expect: Some(0) };
    while !matches!(member.answer(Query::Change(change.clone())).await, Answer::Changed(_)) {
        sleep(MARK).await;
    }
}

/// Puts the node's configuration, and each later one, where other members can read it.
async fn keep_configuration(member: Member, name: String, mut configuration: watch::Receiver<String>) {
    loop {
        let value = Some(configuration.borrow_and_update().clone());
        let change = Change { key: format!("config/{name}"), value, expect: None };
        match member.answer(Query::Change(change)).await {
            Answer::Changed(outcome) => info!("the configuration is kept at version {}", outcome.version),
            other => {
                warn!("the configuration is not kept: {other:?}");
                sleep(MARK).await;
                continue;
            }
        }
        if configuration.changed().await.is_err() {
            return;
        }
    }
}
