//! A relay in front of every process: it knows by the address that a caller comes from which process it is, and holds,
//! delays, slows or breaks what one sends to the other. A direction of a link counts by who sends, whoever has opened
//! the connection.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, SocketAddrV4, TcpListener as StdListener};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::host;

/// What happens to what one process sends to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Nothing passes; what was sent waits, as it does in a network that loses it and sends it again.
    pub cut: bool,
    /// How much later it comes, in ms.
    pub delay_ms: u64,
    /// Bytes a second, where that is bounded.
    pub rate: Option<u64>,
    /// Raised to break the connections that there are.
    pub broken: u64,
    /// Shares of the datagrams that are lost, doubled, and put off by up to 300 ms, so that others overtake them.
    pub lost: f64,
    pub doubled: f64,
    pub put_off: f64,
}

type Links = HashMap<(usize, usize), Link>;

/// The port that datagrams go to, on both sides.
pub const DATAGRAMS: u16 = 7071;
/// The port on which nodes vote. There a callee sees the address that the caller is known by.
pub const VERDICTS: u16 = 7073;

/// The port of partners and of who follows the merged table.
pub const PARTNERS: u16 = 7072;

fn whole_ip(listener: &StdListener) -> IpAddr {
    listener.local_addr().expect("an address").ip()
}

/// The relay, on a thread of its own.
pub struct Relay {
    links: Arc<watch::Sender<Links>>,
    calls: Arc<Mutex<HashMap<(usize, usize), usize>>>,
    bytes: Arc<Mutex<HashMap<(usize, usize), usize>>>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Clone)]
struct Shared {
    links: watch::Receiver<Links>,
    calls: Arc<Mutex<HashMap<(usize, usize), usize>>>,
    bytes: Arc<Mutex<HashMap<(usize, usize), usize>>>,
}

impl Relay {
    /// One address for each process, and where what comes there goes.
    pub fn start(ways: Vec<(usize, SocketAddrV4, SocketAddrV4)>) -> io::Result<Self> {
        let bind = |(n, at, to): (usize, SocketAddrV4, SocketAddrV4)| {
            let listener = StdListener::bind(at)?;
            listener.set_nonblocking(true)?;
            Ok((n, listener, to))
        };
        let listeners = ways.into_iter().map(bind).collect::<io::Result<Vec<_>>>()?;
        let (links, seen) = watch::channel(Links::new());
        let (stop, mut stopped) = watch::channel(false);
        let calls = Arc::<Mutex<HashMap<_, _>>>::default();
        let bytes = Arc::<Mutex<HashMap<_, _>>>::default();
        let shared = Shared { links: seen, calls: calls.clone(), bytes: bytes.clone() };
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let mut ways = HashMap::new();
                for (n, listener, to) in listeners {
                    let whole = SocketAddr::new(listener.local_addr().expect("an address").ip(), DATAGRAMS);
                    let whole = TcpListener::bind(whole).await.expect("a listener");
                    tokio::spawn(accept(n, whole, SocketAddrV4::new(*to.ip(), DATAGRAMS), shared.clone()));
                    let partners = SocketAddr::new(whole_ip(&listener), PARTNERS);
                    let partners = TcpListener::bind(partners).await.expect("a listener");
                    tokio::spawn(accept(n, partners, SocketAddrV4::new(*to.ip(), PARTNERS), shared.clone()));
                    let votes = SocketAddr::new(whole_ip(&listener), VERDICTS);
                    let votes = TcpListener::bind(votes).await.expect("a listener");
                    tokio::spawn(accept(n, votes, SocketAddrV4::new(*to.ip(), VERDICTS), shared.clone()));
                    let at = SocketAddr::new(listener.local_addr().expect("an address").ip(), DATAGRAMS);
                    let listener = TcpListener::from_std(listener).expect("a listener");
                    tokio::spawn(accept(n, listener, to, shared.clone()));
                    let socket = UdpSocket::bind(at).await.expect("a socket");
                    ways.insert(n, (Arc::new(socket), SocketAddr::new(IpAddr::V4(*to.ip()), DATAGRAMS)));
                }
                let ways = Arc::new(ways);
                ways.keys().for_each(|n| drop(tokio::spawn(datagrams(*n, ways.clone(), shared.clone()))));
                let _ = stopped.wait_for(|stop| *stop).await;
            });
        });
        Ok(Self { links: Arc::new(links), calls, bytes, stop, thread: Some(thread) })
    }

    /// Changes what happens to all that `from` sends to `to`.
    pub fn link(&self, from: usize, to: usize, change: impl Fn(&mut Link)) {
        self.links.send_modify(|links| change(links.entry((from, to)).or_default()));
    }

    /// Changes both directions.
    pub fn both(&self, one: usize, other: usize, change: impl Fn(&mut Link)) {
        self.link(one, other, &change);
        self.link(other, one, &change);
    }

    /// Cuts these off from those, both ways.
    pub fn split(&self, these: &[usize], those: &[usize]) {
        for one in these {
            those.iter().for_each(|other| self.both(*one, *other, |link| link.cut = true));
        }
    }

    /// Everything passes again.
    pub fn heal(&self) {
        self.links.send_modify(|links| {
            links.values_mut().for_each(|link| *link = Link { broken: link.broken, ..Link::default() });
        });
    }

    /// How often one process has called another.
    pub fn calls(&self, from: usize, to: usize) -> usize {
        self.calls.lock().expect("a lock").get(&(from, to)).copied().unwrap_or(0)
    }

    /// How many bytes of one process have come to another.
    pub fn bytes(&self, from: usize, to: usize) -> usize {
        self.bytes.lock().expect("a lock").get(&(from, to)).copied().unwrap_or(0)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept(n: usize, listener: TcpListener, to: SocketAddrV4, shared: Shared) {
    while let Ok((stream, from)) = listener.accept().await {
        let caller = usize::from(host(from));
        *shared.calls.lock().expect("a lock").entry((caller, n)).or_insert(0) += 1;
        tokio::spawn(carry(caller, n, stream, SocketAddr::V4(to), shared.clone()));
    }
}

async fn carry(caller: usize, called: usize, stream: TcpStream, to: SocketAddr, shared: Shared) {
    let mut links = shared.links.clone();
    let whole = |links: &Links| {
        let broken = |pair| links.get(&pair).map_or(0, |link: &Link| link.broken);
        broken((caller, called)) + broken((called, caller))
    };
    let before = whole(&links.borrow());
    let mut breaks = shared.links.clone();
    let carried = async {
        // A first packet that is lost opens nothing.
        let _ = links.wait_for(|links| !links.get(&(caller, called)).is_some_and(|link| link.cut)).await;
        let Ok(there) = connect(&stream, caller, to).await else { return };
        let (_, _) = (stream.set_nodelay(true), there.set_nodelay(true));
        let ((from_here, to_here), (from_there, to_there)) = (stream.into_split(), there.into_split());
        tokio::select! {
            () = pump((caller, called), from_here, to_there, shared.clone()) => {}
            () = pump((called, caller), from_there, to_here, shared.clone()) => {}
        }
    };
    tokio::select! {
        () = carried => {}
        _ = breaks.wait_for(|links| whole(links) != before) => {}
    }
}

/// A connection to who is called; where nodes vote, from the address that the caller is known by.
async fn connect(from: &TcpStream, caller: usize, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let IpAddr::V4(known) = from.local_addr()?.ip()
        && to.port() == VERDICTS
    {
        let [a, b, c, _] = known.octets();
        socket.bind(SocketAddr::from(([a, b, c, caller as u8], 0)))?;
    }
    socket.connect(to).await
}

async fn pump(pair: (usize, usize), mut from: OwnedReadHalf, mut to: OwnedWriteHalf, shared: Shared) {
    let mut links = shared.links;
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let link = links.borrow().get(&pair).copied().unwrap_or_default();
        let most = link.rate.map_or(bytes.len(), |rate| (rate as usize / 20).clamp(1, bytes.len()));
        let Ok(length @ 1..) = from.read(&mut bytes[..most]).await else { return };
        let link = links.borrow().get(&pair).copied().unwrap_or_default();
        sleep(Duration::from_millis(link.delay_ms)).await;
        if let Some(rate) = link.rate {
            sleep(Duration::from_secs_f64(length as f64 / rate as f64)).await;
        }
        let _ = links.wait_for(|links| !links.get(&pair).is_some_and(|link| link.cut)).await;
        *shared.bytes.lock().expect("a lock").entry(pair).or_insert(0) += length;
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

type Ways = Arc<HashMap<usize, (Arc<UdpSocket>, SocketAddr)>>;

/// Carries what is sent to one process by datagram, so that it comes from the address that the sender is known by.
async fn datagrams(to: usize, ways: Ways, shared: Shared) {
    let (socket, _) = ways[&to].clone();
    let mut bytes = vec![0; 2048];
    while let Ok((length, source)) = socket.recv_from(&mut bytes).await {
        let from = usize::from(host(source));
        let Some((_, own)) = ways.get(&from) else { continue };
        *shared.bytes.lock().expect("a lock").entry((from, to)).or_insert(0) += length;
        let link = shared.links.borrow().get(&(from, to)).copied().unwrap_or_default();
        if link.cut || rand::random_bool(link.lost) {
            continue;
        }
        let asks = source.port() != own.port();
        for _ in 0..1 + usize::from(rand::random_bool(link.doubled)) {
            let later = if rand::random_bool(link.put_off) { rand::random_range(0..300) } else { 0 };
            let delay = Duration::from_millis(link.delay_ms + later);
            let (ways, bytes) = (ways.clone(), bytes[..length].to_vec());
            let carried = async move {
                // A wait of nothing would last a tick of the clock.
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                if asks {
                    ask(&ways, from, to, source, &bytes).await
                } else {
                    pass(&ways, from, to, &bytes).await
                }
            };
            tokio::spawn(carried);
        }
    }
}

async fn pass(ways: &Ways, from: usize, to: usize, bytes: &[u8]) {
    let _ = ways[&from].0.send_to(bytes, ways[&to].1).await;
}

/// A question from a socket that only asks: the one answer goes back there.
async fn ask(ways: &Ways, from: usize, to: usize, source: SocketAddr, bytes: &[u8]) {
    let Ok(at) = ways[&from].0.local_addr() else { return };
    let Ok(socket) = UdpSocket::bind(SocketAddr::new(at.ip(), 0)).await else { return };
    let _ = socket.send_to(bytes, ways[&to].1).await;
    let mut answer = vec![0; 2048];
    if let Ok(Ok((length, _))) = timeout(Duration::from_secs(1), socket.recv_from(&mut answer)).await {
        let _ = ways[&to].0.send_to(&answer[..length], source).await;
    }
}
