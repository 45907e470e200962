//! INI files with strict checks.
//!
//! Every fault states the file, the section, the key and what to do. Unknown keys are
//! faults, so that a misspelt key is not ignored.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::str::FromStr;

use derive_more::{Display, Error};
use ini::{Ini, Properties};

/// A fault in an INI file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{file}: {place}: {problem}")]
pub struct Fault {
    /// The name of the file as the user gave it.
    pub file: String,
    /// The position in the file.
    pub place: Place,
    /// The problem and how to correct it.
    pub problem: String,
}

/// The position of a fault in a file.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Place {
    /// The file as a whole.
    #[display("the file")]
    File,
    /// A line; the first is 1.
    #[display("line {number}")]
    Line { number: usize },
    /// A section.
    #[display("[{section}]")]
    Section { section: String },
    /// A key of a section.
    #[display("[{section}] {key}")]
    Key { section: String, key: String },
}

/// A parsed INI file.
#[derive(Debug)]
pub struct File<'a> {
    name: &'a str,
    ini: Ini,
}

impl<'a> File<'a> {
    /// Parses `text`; faults refer to the file as `name`.
    ///
    /// # Errors
    ///
    /// The text is not valid INI, has a key outside of a section, or has two sections of
    /// the same name.
    pub fn parse(name: &'a str, text: &str) -> Result<Self, Fault> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| Fault {
            file: name.to_owned(),
            place: Place::Line { number: error.line },
            problem: format!("{}: write `key = value` or `[section]`", error.msg),
        })?;
        let this = Self { name, ini };
        if let Some((key, _)) = this.ini.general_section().iter().next() {
            let problem =
                format!("`{key}` is outside of any section: move it below a `[section]` line");
            return Err(this.fault(Place::File, problem));
        }
        this.check_sections()?;
        Ok(this)
    }

    /// Checks that no two sections have the same name.
    fn check_sections(&self) -> Result<(), Fault> {
        let mut sections = self.ini.sections().flatten();
        let twice = sections.find(|&section| self.ini.section_all(Some(section)).count() > 1);
        let Some(section) = twice else {
            return Ok(());
        };
        let place = Place::Section {
            section: section.to_owned(),
        };
        Err(self.fault(
            place,
            "appears twice: merge the sections or rename one".to_owned(),
        ))
    }

    /// The sections, in the order of the file.
    pub fn sections(&self) -> impl Iterator<Item = Section<'_>> {
        self.ini.iter().filter_map(|(name, properties)| {
            Some(Section {
                file: self.name,
                name: name?,
                properties,
                known_keys: RefCell::default(),
            })
        })
    }

    /// Returns the section with this name.
    ///
    /// # Errors
    ///
    /// The file has no such section.
    pub fn section<'b>(&'b self, name: &'b str) -> Result<Section<'b>, Fault> {
        let properties = self.ini.section(Some(name)).ok_or_else(|| {
            let place = Place::Section {
                section: name.to_owned(),
            };
            self.fault(place, "is missing: add the section".to_owned())
        })?;
        Ok(Section {
            file: self.name,
            name,
            properties,
            known_keys: RefCell::default(),
        })
    }

    fn fault(&self, place: Place, problem: String) -> Fault {
        Fault {
            file: self.name.to_owned(),
            place,
            problem,
        }
    }
}

/// A section of an INI file.
///
/// Each key that is read counts as known; [`Section::finish`] then rejects all others.
#[derive(Debug)]
pub struct Section<'a> {
    file: &'a str,
    /// The text between the brackets.
    pub name: &'a str,
    properties: &'a Properties,
    /// The keys that the caller has read so far, present or not.
    known_keys: RefCell<BTreeSet<&'a str>>,
}

impl<'a> Section<'a> {
    /// The value of `key`, or `None` if the key is missing.
    ///
    /// `expected` describes a valid value, for the message of a fault.
    ///
    /// # Errors
    ///
    /// The key appears twice, or its value is not a valid `T`.
    pub fn optional<T: FromStr>(&self, key: &'a str, expected: &str) -> Result<Option<T>, Fault> {
        self.known_keys.borrow_mut().insert(key);
        if self.properties.get_all(key).count() > 1 {
            return Err(self.fault(key, "appears twice: remove one".to_owned()));
        }
        let Some(value) = self.properties.get(key) else {
            return Ok(None);
        };
        let parsed = value.parse().map_err(|_| {
            let problem = format!("`{value}` is not valid: write {expected}");
            self.fault(key, problem)
        })?;
        Ok(Some(parsed))
    }

    /// The value of `key`.
    ///
    /// # Errors
    ///
    /// The key is missing, or one of the faults of [`Section::optional`].
    pub fn required<T: FromStr>(&self, key: &'a str, expected: &str) -> Result<T, Fault> {
        self.optional(key, expected)?
            .ok_or_else(|| self.fault(key, format!("is missing: add {expected}")))
    }

    /// The names in the comma-separated value of `key`; empty if the key is missing.
    ///
    /// # Errors
    ///
    /// The same as of [`Section::optional`].
    pub fn names(&self, key: &'a str) -> Result<Vec<String>, Fault> {
        let text: Option<String> = self.optional(key, "names separated by commas")?;
        Ok(text.map_or_else(Vec::new, |text| {
            let names = text.split(',').map(str::trim);
            names
                .filter(|name| !name.is_empty())
                .map(str::to_owned)
                .collect()
        }))
    }

    /// Checks that the section has no keys other than those read so far.
    ///
    /// # Errors
    ///
    /// The section has an unknown key; the first one is reported.
    pub fn finish(self) -> Result<(), Fault> {
        let known_keys = self.known_keys.borrow();
        let unknown = self
            .properties
            .iter()
            .find(|(key, _)| !known_keys.contains(key));
        let Some((key, _)) = unknown else {
            return Ok(());
        };
        let known: Vec<&str> = known_keys.iter().copied().collect();
        let problem = format!("is unknown: remove it or use one of {}", known.join(", "));
        Err(self.fault(key, problem))
    }

    /// Builds a fault at `key` of this section.
    #[must_use]
    pub fn fault(&self, key: &str, problem: String) -> Fault {
        Fault {
            file: self.file.to_owned(),
            place: Place::Key {
                section: self.name.to_owned(),
                key: key.to_owned(),
            },
            problem,
        }
    }

    /// Builds the fault for a section that the file may not have; `expected` lists those that
    /// it may.
    #[must_use]
    pub fn unknown_section(&self, expected: &str) -> Fault {
        Fault {
            file: self.file.to_owned(),
            place: Place::Section {
                section: self.name.to_owned(),
            },
            problem: format!("is unknown: use {expected}"),
        }
    }
}
