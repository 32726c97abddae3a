//! The certificates in service, towards players and towards media servers: read at start, and again whenever their
//! folder has changed. A bad set is refused whole and the one in service stays; connections that were made under
//! an old set live on.

use crate::config::Tls;
use crate::server_list::WatchedFiles;
use pulleystair_tls::{CertificateError, Loaded};
use rustls::{ClientConfig, ServerConfig};
use std::path::Path;
use tracing::{error, info, warn};

type Read<T> = fn(&Path, u64) -> Result<Loaded<T>, CertificateError>;

/// One side's.
struct Side<T> {
    name: &'static str,
    folder: std::path::PathBuf,
    watched: WatchedFiles,
    read: Read<T>,
    /// What was last said of its expiry, so that it is said once.
    told: Expiry,
}

/// How near its end a certificate is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expiry {
    Far,
    Near,
    Past,
}

impl Expiry {
    /// Of a certificate that runs out then, where `near` s before is near; times in s since 1970.
    pub fn of(expires: Option<u64>, now: u64, near: u64) -> Expiry {
        match expires {
            Some(at) if at < now => Expiry::Past,
            Some(at) if at <= now + near => Expiry::Near,
            _ => Expiry::Far,
        }
    }
}

pub struct TlsConfigs {
    pub players: Option<Loaded<ServerConfig>>,
    pub servers: Option<Loaded<ClientConfig>>,
    sides: (Option<Side<ServerConfig>>, Option<Side<ClientConfig>>),
}

impl TlsConfigs {
    /// Reads what is there at start; `now` is s since 1970.
    pub fn load(tls: &Tls, now: u64) -> Result<TlsConfigs, CertificateError> {
        let mut players = Side::new(
            "players",
            &tls.players,
            &pulleystair_tls::PLAYER_FILES,
            pulleystair_tls::load_player_config,
        );
        let mut servers = Side::new(
            "servers",
            &tls.servers,
            &pulleystair_tls::SERVER_FILES,
            pulleystair_tls::load_server_config,
        );
        Ok(TlsConfigs {
            players: players.as_mut().map(|side| side.first(now)).transpose()?,
            servers: servers.as_mut().map(|side| side.first(now)).transpose()?,
            sides: (players, servers),
        })
    }

    /// Looks whether anything was replaced; true where media servers are now known by another set, so that idle
    /// connections to them are not to be used again.
    pub fn look(&mut self, now: u64, near: u64) -> bool {
        let (players, servers) = &mut self.sides;
        if let (Some(side), Some(sealed)) = (players, &mut self.players) {
            side.look(sealed, now, near);
        }
        match (servers, &mut self.servers) {
            (Some(side), Some(sealed)) => side.look(sealed, now, near),
            _ => false,
        }
    }

    /// Looks at all of it anew, whether it was replaced or not.
    pub fn again(&mut self) {
        self.sides.0.iter_mut().for_each(|side| side.watched.again());
        self.sides.1.iter_mut().for_each(|side| side.watched.again());
    }
}

impl<T> Side<T> {
    fn new(
        name: &'static str,
        folder: &Option<std::path::PathBuf>,
        files: &[&str],
        read: Read<T>,
    ) -> Option<Side<T>> {
        let folder = folder.clone()?;
        let watched = WatchedFiles::folder(&folder, files);
        Some(Side { name, folder, watched, read, told: Expiry::Far })
    }

    fn first(&mut self, now: u64) -> Result<Loaded<T>, CertificateError> {
        // Looked at before it is read: what is replaced meanwhile shows at the next look.
        self.watched.check_replaced();
        (self.read)(&self.folder, now)
    }

    fn look(&mut self, sealed: &mut Loaded<T>, now: u64, near: u64) -> bool {
        let mut taken = false;
        if self.watched.check_replaced() {
            match (self.read)(&self.folder, now) {
                Ok(it) => {
                    info!(target: "tls", side = self.name, serial = it.serial, expires = it.expires, "certificates taken");
                    (*sealed, self.told, taken) = (it, Expiry::Far, true);
                    self.watched.taken();
                }
                Err(e) => {
                    if self.watched.refused(&e, true) {
                        error!(target: "tls", side = self.name, "certificates not taken, those in service stay: {e}");
                    }
                }
            }
        }
        let expiry = Expiry::of(sealed.expires, now, near);
        if expiry != self.told {
            self.told = expiry;
            let (side, serial) = (self.name, &sealed.serial);
            match expiry {
                Expiry::Far => {}
                Expiry::Near => {
                    warn!(target: "tls", side, serial, expires = sealed.expires, "certificate runs out soon")
                }
                Expiry::Past => {
                    error!(target: "tls", side, serial, expires = sealed.expires, "certificate has expired and is still shown");
                }
            }
        }
        taken
    }
}
