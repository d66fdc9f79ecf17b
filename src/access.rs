//! Access of operator commands to the administration API: addresses and credential.

use std::{env, fs, net::SocketAddr, path::PathBuf};

use compact_str::CompactString;
use lexopt::ValueExt as _;
use mustardpin_settings::Settings;

use crate::{client::Client, error::Error};

/// Help text of the access options, which every operator command takes.
pub const HELP: &str = "\
Access:
  --settings FILE         takes address and credential from the settings of a node
  --admin IP:PORT         the administration API of a node; may be repeated, used in turn
  --credential-file FILE  holds the operator credential
  The credential may also stand in the variable MUSTARDPIN_OPERATOR_CREDENTIAL.";

const CREDENTIAL_VARIABLE: &str = "MUSTARDPIN_OPERATOR_CREDENTIAL";

/// The access options given on the command line.
#[derive(Debug, Default)]
pub struct Access {
    settings: Option<PathBuf>,
    addresses: Vec<SocketAddr>,
    credential_file: Option<PathBuf>,
}

impl Access {
    /// Parses the value of an access option; returns `false` for any other option.
    pub fn parse_option(&mut self, name: &str, parser: &mut lexopt::Parser) -> Result<bool, Error> {
        match name {
            "settings" => self.settings = Some(parser.value()?.into()),
            "admin" => self.addresses.push(parser.value()?.parse()?),
            "credential-file" => self.credential_file = Some(parser.value()?.into()),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Creates a client from the options, the settings file and the environment.
    pub fn client(self) -> Result<Client, Error> {
        let mut addresses = self.addresses;
        let mut credential = self.credential_file.map(read_credential).transpose()?;
        if let Some(file) = &self.settings {
            let settings = Settings::load(file)?;
            addresses.extend(settings.addresses.admin);
            let from_settings = settings.addresses.admin.map(|_| settings.credentials.operator);
            credential = credential.or(from_settings);
        }
        let credential = credential.or_else(|| env::var(CREDENTIAL_VARIABLE).ok().map(Into::into));
        let Some(credential) = credential else {
            return Err(Error::Usage(format!(
                "no operator credential; give --settings, --credential-file or {CREDENTIAL_VARIABLE}"
            )));
        };
        if addresses.is_empty() {
            return Err(Error::Usage(
                "no administration API; give --admin IP:PORT or --settings FILE".to_owned(),
            ));
        }
        Ok(Client::new(addresses, credential))
    }
}

fn read_credential(file: PathBuf) -> Result<CompactString, Error> {
    match fs::read_to_string(&file) {
        Ok(text) => Ok(text.trim().into()),
        Err(source) => Err(Error::File { file, source }),
    }
}
