//! The certificates in effect, towards players and towards media servers: loaded at start, and again whenever a file of
//! their folder was replaced. An invalid set is refused as a whole and the present one stays in effect; connections
//! made under an earlier set stay open. Times are s since 1970.

use crate::config::Tls;
use crate::server_list::WatchedFiles;
use pulleystair_tls::{CertificateError, Loaded};
use rustls::{ClientConfig, ServerConfig};
use std::path::Path;
use tracing::{error, info, warn};

/// Loads and checks a folder of certificates, as of a time.
type LoadFn<T> = fn(&Path, u64) -> Result<Loaded<T>, CertificateError>;

/// The folder of one side: towards players or towards media servers.
struct WatchedSide<T> {
    name: &'static str,
    folder: std::path::PathBuf,
    watched: WatchedFiles,
    load: LoadFn<T>,
    /// The expiry state that was last logged, so that each is logged once.
    logged_expiry: Expiry,
}

/// How near its expiry a certificate is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expiry {
    /// The warning period has not begun, or there is no certificate.
    Far,
    /// Within the warning period, the moment of expiry included.
    Near,
    /// The moment of expiry has passed.
    Past,
}

impl Expiry {
    /// State at `now` of a certificate that expires at `expires`; the warning period is the last `warn_before_s` s
    /// before.
    pub fn from_times(expires: Option<u64>, now: u64, warn_before_s: u64) -> Expiry {
        match expires {
            Some(expires) if expires < now => Expiry::Past,
            Some(expires) if expires <= now + warn_before_s => Expiry::Near,
            _ => Expiry::Far,
        }
    }
}

/// The TLS configurations in effect; none for a side that does not use TLS.
pub struct TlsConfigs {
    /// Towards players.
    pub players: Option<Loaded<ServerConfig>>,
    /// Towards media servers.
    pub servers: Option<Loaded<ClientConfig>>,
    sides: (Option<WatchedSide<ServerConfig>>, Option<WatchedSide<ClientConfig>>),
}

impl TlsConfigs {
    /// Loads the certificates at start.
    pub fn load(tls: &Tls, now: u64) -> Result<TlsConfigs, CertificateError> {
        let mut players = WatchedSide::new(
            "players",
            &tls.players,
            &pulleystair_tls::PLAYER_FILES,
            pulleystair_tls::load_player_config,
        );
        let mut servers = WatchedSide::new(
            "servers",
            &tls.servers,
            &pulleystair_tls::SERVER_FILES,
            pulleystair_tls::load_server_config,
        );
        Ok(TlsConfigs {
            players: players.as_mut().map(|side| side.load_first(now)).transpose()?,
            servers: servers.as_mut().map(|side| side.load_first(now)).transpose()?,
            sides: (players, servers),
        })
    }

    /// Loads the folders in which a file was replaced, and logs certificates that expire soon or have expired. Returns
    /// true if the set towards media servers was replaced, in which case idle connections to them must not be used
    /// again.
    pub fn poll(&mut self, now: u64, warn_before_s: u64) -> bool {
        let (players, servers) = &mut self.sides;
        if let (Some(side), Some(loaded)) = (players, &mut self.players) {
            side.poll(loaded, now, warn_before_s);
        }
        match (servers, &mut self.servers) {
            (Some(side), Some(loaded)) => side.poll(loaded, now, warn_before_s),
            _ => false,
        }
    }

    /// Makes the next poll load all certificates again, even if they were not replaced.
    pub fn force_reread(&mut self) {
        self.sides.0.iter_mut().for_each(|side| side.watched.force_reread());
        self.sides.1.iter_mut().for_each(|side| side.watched.force_reread());
    }
}

impl<T> WatchedSide<T> {
    /// Watches these files of a folder; none if the side does not use TLS.
    fn new(
        name: &'static str,
        folder: &Option<std::path::PathBuf>,
        files: &[&str],
        load: LoadFn<T>,
    ) -> Option<WatchedSide<T>> {
        let folder = folder.clone()?;
        let watched = WatchedFiles::in_folder(&folder, files);
        Some(WatchedSide { name, folder, watched, load, logged_expiry: Expiry::Far })
    }

    /// Loads the folder at start.
    fn load_first(&mut self, now: u64) -> Result<Loaded<T>, CertificateError> {
        // Checked before the files are read, so that a replacement during the read is seen at the next poll.
        self.watched.check_replaced();
        (self.load)(&self.folder, now)
    }

    /// Loads the folder again if it was replaced, and logs a certificate that is near its expiry or past it. Returns
    /// true if another set is now in effect.
    fn poll(&mut self, loaded: &mut Loaded<T>, now: u64, warn_before_s: u64) -> bool {
        let mut replaced = false;
        if self.watched.check_replaced() {
            match (self.load)(&self.folder, now) {
                Ok(new) => {
                    info!(target: "tls", side = self.name, serial = new.serial, expires = new.expires, "certificates taken");
                    (*loaded, self.logged_expiry, replaced) = (new, Expiry::Far, true);
                    self.watched.record_acceptance();
                }
                Err(e) => {
                    if self.watched.record_refusal(&e, true) {
                        error!(target: "tls", side = self.name, "certificates not taken, the current ones stay in effect: {e}");
                    }
                }
            }
        }
        let expiry = Expiry::from_times(loaded.expires, now, warn_before_s);
        if expiry != self.logged_expiry {
            self.logged_expiry = expiry;
            let (side, serial) = (self.name, &loaded.serial);
            match expiry {
                Expiry::Far => {}
                Expiry::Near => {
                    warn!(target: "tls", side, serial, expires = loaded.expires, "certificate runs out soon")
                }
                Expiry::Past => {
                    error!(target: "tls", side, serial, expires = loaded.expires, "certificate has expired and is still presented");
                }
            }
        }
        replaced
    }
}
