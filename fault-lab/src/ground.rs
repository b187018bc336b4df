//! The part of loopback that one run has for itself, so that runs beside each other do not meet.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Which ports of a ground are fixed. They are below those that systems give out by themselves.
const CLAIM: u16 = 21_000;
/// Where clients of a front door call, where staff call, and where the front doors talk.
const CLIENTS: u16 = 21_443;
const STAFF: u16 = 21_444;
const FLEET: u16 = 21_446;
/// The first front door's place.
const DOORS: u8 = 10;
/// Most front doors of a ground.
pub const MOST_DOORS: usize = 200;

/// Addresses 127.x.y.1 to 127.x.y.254, held until this is dropped.
#[derive(Debug)]
pub struct Ground {
    x: u8,
    y: u8,
    _claim: TcpListener,
}

impl Ground {
    /// Claims a part that no other run has, and where the ports of so many front doors are free.
    ///
    /// # Errors
    /// All are taken.
    pub fn claim(doors: usize) -> io::Result<Ground> {
        let start = std::process::id() as u16;
        for n in 0..u16::MAX {
            let [x, y] = start.wrapping_add(n).to_be_bytes();
            let x = 64 + x % 63;
            match TcpListener::bind((Ipv4Addr::new(127, x, y, 1), CLAIM)) {
                Ok(claim) => {
                    let ground = Ground {
                        x,
                        y,
                        _claim: claim,
                    };
                    if (0..doors).all(|door| ground.is_free(door)) {
                        return Ok(ground);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "every part of loopback is claimed",
        ))
    }

    /// Another program may listen there, or at every address.
    fn is_free(&self, door: usize) -> bool {
        let places = [self.listen(door), self.staff(door), self.fleet(door)];
        places
            .into_iter()
            .all(|place| TcpListener::bind(place).is_ok())
    }

    fn at(&self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.x, self.y, last).into()
    }

    /// Where the lab's own listeners stand, at ports that the system gives.
    pub fn own(&self) -> IpAddr {
        self.at(2)
    }

    /// The address that clients call from.
    pub fn clients(&self) -> IpAddr {
        self.at(3)
    }

    /// The address of a front door.
    pub fn door(&self, door: usize) -> IpAddr {
        self.at(DOORS + door.min(MOST_DOORS) as u8)
    }

    /// The front door with this address.
    pub fn door_at(&self, address: IpAddr) -> Option<usize> {
        let IpAddr::V4(address) = address else {
            return None;
        };
        let [_, x, y, last] = address.octets();
        (x == self.x && y == self.y && last >= DOORS).then(|| usize::from(last - DOORS))
    }

    /// Where a front door's clients call.
    pub fn listen(&self, door: usize) -> SocketAddr {
        SocketAddr::new(self.door(door), CLIENTS)
    }

    /// Where a front door's staff call.
    pub fn staff(&self, door: usize) -> SocketAddr {
        SocketAddr::new(self.door(door), STAFF)
    }

    /// Where a front door hears the others.
    pub fn fleet(&self, door: usize) -> SocketAddr {
        SocketAddr::new(self.door(door), FLEET)
    }
}

#[cfg(test)]
mod tests;
