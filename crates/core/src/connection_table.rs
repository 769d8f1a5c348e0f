//! The connections of clients that a node has open, bounded in all and by address.
//!
//! Handles clients that open connections without end: a new one takes the place of the one that is idle for longest, and is
//! refused if all are in use.

use std::{
    collections::{BTreeSet, HashMap},
    net::IpAddr,
};

/// Bounds on open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections in all.
    pub total: usize,
    /// Connections of one address. The clients of a load balancer come from few addresses.
    pub by_address: usize,
}

impl ConnectionLimits {
    /// Returns limits of which one address may use half, but at least one connection.
    ///
    /// ```
    /// use daisysill_core::connection_table::ConnectionLimits;
    /// assert_eq!(ConnectionLimits::new(100).by_address, 50);
    /// ```
    pub const fn new(total: usize) -> Self {
        let by_address = if total < 2 { 1 } else { total / 2 };
        Self { total, by_address }
    }
}

/// Identifies an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// What happens with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// It is open; `replaces` has lost its place to it and is to be closed.
    Opened {
        /// The new connection.
        id: ConnectionId,
        /// The connection that was idle for longest.
        replaces: Option<ConnectionId>,
    },
    /// All connections that it could replace are in use.
    Refused,
}

/// The open connections. A new one is idle.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    next: u64,
    open: HashMap<ConnectionId, Connection>,
    count_by_address: HashMap<IpAddr, usize>,
    /// The idle connections by the number of the event that made them idle.
    idle: BTreeSet<(u64, ConnectionId)>,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    address: IpAddr,
    idle_since: Option<u64>,
}

impl ConnectionTable {
    /// Starts with no connection.
    ///
    /// ```
    /// use daisysill_core::connection_table::{ConnectionLimits, ConnectionTable, Opening};
    /// let mut table = ConnectionTable::new(ConnectionLimits { total: 2, by_address: 1 });
    /// let address = "127.0.0.1".parse().unwrap();
    /// let Opening::Opened { id, replaces: None } = table.open(address) else { panic!() };
    /// table.set_idle(id, false);
    /// assert_eq!(table.open(address), Opening::Refused);
    /// table.set_idle(id, true);
    /// assert!(matches!(table.open(address), Opening::Opened { replaces: Some(old), .. } if old == id));
    /// ```
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            next: 0,
            open: HashMap::new(),
            count_by_address: HashMap::new(),
            idle: BTreeSet::new(),
        }
    }

    /// Returns the number of open connections.
    ///
    /// ```
    /// use daisysill_core::connection_table::{ConnectionLimits, ConnectionTable};
    /// assert_eq!(ConnectionTable::new(ConnectionLimits::new(2)).count(), 0);
    /// ```
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Opens a connection from an address.
    ///
    /// ```
    /// use daisysill_core::connection_table::{ConnectionLimits, ConnectionTable};
    /// let mut table = ConnectionTable::new(ConnectionLimits::new(4));
    /// table.open("127.0.0.1".parse().unwrap());
    /// assert_eq!(table.count(), 1);
    /// ```
    pub fn open(&mut self, address: IpAddr) -> Opening {
        let of_address = self.count_by_address.get(&address).copied().unwrap_or_default();
        let replaces = if of_address >= self.limits.by_address {
            let mut idle = self.idle.iter().map(|(_, id)| *id);
            let oldest = idle.find(|id| self.open.get(id).is_some_and(|other| other.address == address));
            oldest.map(Some)
        } else if self.open.len() >= self.limits.total {
            self.idle.first().map(|(_, id)| Some(*id))
        } else {
            Some(None)
        };
        let Some(replaces) = replaces else { return Opening::Refused };
        if let Some(replaced) = replaces {
            self.close(replaced);
        }
        let number = self.next_number();
        let id = ConnectionId(number);
        self.open.insert(id, Connection { address, idle_since: Some(number) });
        *self.count_by_address.entry(address).or_default() += 1;
        self.idle.insert((number, id));
        Opening::Opened { id, replaces }
    }

    /// Sets whether a connection has no request in progress. One that is not open is ignored.
    ///
    /// ```
    /// use daisysill_core::connection_table::{ConnectionLimits, ConnectionTable, Opening};
    /// let mut table = ConnectionTable::new(ConnectionLimits::new(1));
    /// let Opening::Opened { id, .. } = table.open("127.0.0.1".parse().unwrap()) else { panic!() };
    /// table.set_idle(id, false);
    /// assert_eq!(table.open("127.0.0.2".parse().unwrap()), Opening::Refused);
    /// ```
    pub fn set_idle(&mut self, id: ConnectionId, is_idle: bool) {
        let number = self.next_number();
        let Some(connection) = self.open.get_mut(&id) else { return };
        match (connection.idle_since, is_idle) {
            (None, true) => {
                connection.idle_since = Some(number);
                self.idle.insert((number, id));
            }
            (Some(since), false) => {
                connection.idle_since = None;
                self.idle.remove(&(since, id));
            }
            _ => {}
        }
    }

    /// Closes a connection. One that is not open is ignored.
    ///
    /// ```
    /// use daisysill_core::connection_table::{ConnectionLimits, ConnectionTable, Opening};
    /// let mut table = ConnectionTable::new(ConnectionLimits::new(1));
    /// let Opening::Opened { id, .. } = table.open("127.0.0.1".parse().unwrap()) else { panic!() };
    /// table.close(id);
    /// table.close(id);
    /// assert_eq!(table.count(), 0);
    /// ```
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.remove(&id) else { return };
        if let Some(since) = connection.idle_since {
            self.idle.remove(&(since, id));
        }
        if let Some(count) = self.count_by_address.get_mut(&connection.address) {
            *count -= 1;
            if *count == 0 {
                self.count_by_address.remove(&connection.address);
            }
        }
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
