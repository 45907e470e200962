//! `nutmegyoke check`: validates a routing document, or the two lists, before they are applied.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Args, ValueEnum};
use nutmegyoke_core::version::routing::check::difference::{Change, Edition};
use nutmegyoke_core::version::routing::check::warning::Listing;
use nutmegyoke_host::version::lists;
use nutmegyoke_platform::check::{self, Difference, Finding, Report};
use nutmegyoke_wire::process::listing;

use crate::client::{self, Failure, Response};

/// Check a routing document, or the two lists, before they are applied; changes nothing.
#[derive(Debug, Args)]
pub struct Check {
    /// The routing document; read from standard input if none is given, or `-`.
    #[arg(value_name = "DOCUMENT", conflicts_with_all = ["plans", "grants"])]
    document: Option<PathBuf>,

    /// The registrar's address of a gateway, to compare with the document in force.
    #[arg(long, value_name = "ADDR", conflicts_with_all = ["plans", "grants"])]
    control: Option<SocketAddr>,

    /// Fail if there are warnings.
    #[arg(long, conflicts_with_all = ["plans", "grants"])]
    strict: bool,

    /// The file with the plans list, to check the two lists in place of a document.
    #[arg(long, value_name = "FILE", requires = "grants")]
    plans: Option<PathBuf>,

    /// The file with the grants list.
    #[arg(long, value_name = "FILE", requires = "plans")]
    grants: Option<PathBuf>,

    /// How the result is printed.
    #[arg(long, value_enum, default_value_t)]
    format: Format,

    /// Print the result as JSON, like `--format json`.
    #[arg(long)]
    json: bool,
}

/// How a result is printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
enum Format {
    #[default]
    Text,
    Json,
}

impl Check {
    pub fn run(&self) -> Result<(), Failure> {
        match (&self.plans, &self.grants) {
            (Some(plans), Some(grants)) => self.check_lists(plans, grants),
            _ => self.check_document(),
        }
    }

    fn prints_json(&self) -> bool {
        self.json || self.format == Format::Json
    }

    fn check_lists(&self, plans: &Path, grants: &Path) -> Result<(), Failure> {
        let lists = lists::read(0, plans, grants)?;
        let (plans, grants) = (lists.plans.len(), lists.grants.len());
        if self.prints_json() {
            println!("{}", serde_json::json!({"plans": plans, "grants": grants}));
        } else {
            println!("the lists are valid: {plans} plans, {grants} grants");
        }
        Ok(())
    }

    fn check_document(&self) -> Result<(), Failure> {
        let source = read(self.document.as_deref())?;
        let (in_force, listing) = match self.control {
            Some(address) => {
                let (in_force, listing) = fetch(address)?;
                (in_force, Some(listing))
            }
            None => (None, None),
        };
        let report = check::check(&source, in_force.as_deref(), listing.as_ref());
        let report = match (report, self.control) {
            (Ok(report), _) => report,
            (Err(source), Some(address)) => return Err(Failure::InForce { address, source }),
            (Err(fault), None) => {
                let message = fault.to_string();
                return Err(Failure::Input { message });
            }
        };
        if self.prints_json() {
            let text = serde_json::to_string_pretty(&report).unwrap_or_default();
            println!("{text}");
        } else {
            print(&report);
        }
        match (report.errors.len(), report.warnings.len()) {
            (0, count) if count > 0 && self.strict => Err(Failure::Warnings { count }),
            (0, _) => Ok(()),
            (count, _) => Err(Failure::Errors { count }),
        }
    }
}

/// Reads a file, or standard input if there is none.
fn read(path: Option<&Path>) -> Result<Vec<u8>, Failure> {
    let path = path.filter(|path| *path != Path::new("-"));
    let Some(path) = path else {
        let mut source = Vec::new();
        let read = io::stdin().lock().read_to_end(&mut source);
        return match read {
            Ok(_) => Ok(source),
            Err(error) => Err(Failure::Input {
                message: format!("standard input: {error}; give a file instead"),
            }),
        };
    };
    std::fs::read(path).map_err(|error| Failure::Input {
        message: format!(
            "{}: {error}; give a readable routing document",
            path.display()
        ),
    })
}

/// Fetches the document in force and the number of listed endpoints by service from a gateway's
/// registrar. The document is `None` if none was published.
fn fetch(address: SocketAddr) -> Result<(Option<Vec<u8>>, Listing), Failure> {
    // The operators' address answers the second call with 404 too, so the first must have succeeded.
    let listing = fetch_listing(address)?;
    let response = get(address, "/config")?;
    match response.status {
        200 => Ok((Some(response.body), listing)),
        404 => Ok((None, listing)),
        _ => Err(refused(&response)),
    }
}

fn fetch_listing(address: SocketAddr) -> Result<Listing, Failure> {
    let response = get(address, "/v1/endpoints")?;
    match response.status {
        200 => {
            listing::decode(&response.body).map_err(|source| Failure::Listing { address, source })
        }
        404 => Err(Failure::Refused {
            message: format!(
                "{address} lists no endpoints: give the registrar's address of a gateway"
            ),
        }),
        _ => Err(refused(&response)),
    }
}

fn get(address: SocketAddr, path: &str) -> Result<Response, Failure> {
    client::get(address, path).map_err(|failure| match failure {
        Failure::Call { address, source } => Failure::Registrar { address, source },
        other => other,
    })
}

fn refused(response: &Response) -> Failure {
    let message = String::from_utf8_lossy(&response.body).trim().to_owned();
    Failure::Refused { message }
}

fn print(report: &Report) {
    for finding in &report.errors {
        print_finding("error", finding);
    }
    for finding in &report.warnings {
        print_finding("warning", finding);
    }
    for difference in &report.differences {
        print_difference(difference);
    }
    let version = report.version.map(|version| format!("version {version}: "));
    print!(
        "{}{} errors, {} warnings",
        version.unwrap_or_default(),
        report.errors.len(),
        report.warnings.len()
    );
    match report.version_in_force {
        Some(number) => println!(
            ", {} differences from version {number} in force",
            report.differences.len()
        ),
        None => println!(),
    }
}

fn print_finding(level: &str, finding: &Finding) {
    println!(
        "{level}: {}: {}",
        show_place(&finding.place),
        finding.message
    );
}

fn print_difference(difference: &Difference) {
    let place = show_place(&difference.place);
    let name = match difference.name.as_str() {
        "" => String::new(),
        name => format!(" (`{name}`)"),
    };
    let edition = match difference.edition {
        Edition::Old => " in force",
        Edition::New => "",
    };
    let none = String::new();
    let value = |value: &Option<String>| value.as_ref().unwrap_or(&none).clone();
    let change = match difference.change {
        Change::Added => "added".to_owned(),
        Change::Removed => "removed".to_owned(),
        Change::Changed => format!(
            "changed from {} to {}",
            value(&difference.before),
            value(&difference.after)
        ),
    };
    println!(
        "difference: {place}{edition}{name}: {change}: {}",
        difference.message
    );
}

/// A place for reading, as the JSON pointer of the whole document is empty.
fn show_place(place: &str) -> &str {
    if place.is_empty() { "document" } else { place }
}
