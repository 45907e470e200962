//! Checked access to INI files.
//!
//! Every complaint names the file, the section, the key and what to do. A key
//! that nobody known_keys for is an error, so that a misspelt one is not ignored.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::str::FromStr;

use derive_more::{Display, Error};
use ini::{Ini, Properties};

/// What is wrong with an INI file, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{file}: {place}: {problem}")]
pub struct Fault {
    /// The file as the user named it.
    pub file: String,
    /// The section and key, or the line.
    pub place: Place,
    /// What is wrong and what to do.
    pub problem: String,
}

/// Where in a file a fault is.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Place {
    /// The file as a whole.
    #[display("the file")]
    File,
    /// A line, counted from 1.
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
    /// Parses the text of the file called `name`.
    ///
    /// # Errors
    ///
    /// The text is not INI, has keys before its first section or a section twice.
    pub fn parse(name: &'a str, text: &str) -> Result<Self, Fault> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| Fault {
            file: name.to_owned(),
            place: Place::Line { number: error.line },
            problem: format!("{}: write `key = value` or `[section]`", error.msg),
        })?;
        let this = Self { name, ini };
        if let Some((key, _)) = this.ini.general_section().iter().next() {
            let problem = format!("`{key}` stands before any section: move it below one");
            return Err(this.fault(Place::File, problem));
        }
        this.check_sections()?;
        Ok(this)
    }

    fn check_sections(&self) -> Result<(), Fault> {
        let mut sections = self.ini.sections().flatten();
        let twice = sections.find(|&section| self.ini.section_all(Some(section)).count() > 1);
        let Some(section) = twice else {
            return Ok(());
        };
        let place = Place::Section {
            section: section.to_owned(),
        };
        Err(self.fault(place, "stands twice: join or rename them".to_owned()))
    }

    /// The sections in the order of the file.
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

    /// The section called `name`.
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
#[derive(Debug)]
pub struct Section<'a> {
    file: &'a str,
    /// The name between the brackets.
    pub name: &'a str,
    properties: &'a Properties,
    known_keys: RefCell<BTreeSet<&'a str>>,
}

impl<'a> Section<'a> {
    /// The value of `key`, if the key is there.
    ///
    /// # Errors
    ///
    /// The key stands twice, or its value is not a `T`; `expected` says what is.
    pub fn optional<T: FromStr>(&self, key: &'a str, expected: &str) -> Result<Option<T>, Fault> {
        self.known_keys.borrow_mut().insert(key);
        if self.properties.get_all(key).count() > 1 {
            return Err(self.fault(key, "stands twice: remove one".to_owned()));
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
    /// As [`Section::optional`], and when the key is missing.
    pub fn required<T: FromStr>(&self, key: &'a str, expected: &str) -> Result<T, Fault> {
        self.optional(key, expected)?
            .ok_or_else(|| self.fault(key, format!("is missing: add {expected}")))
    }

    /// The names in the value of `key`, separated by commas; none if the key is missing.
    ///
    /// # Errors
    ///
    /// As [`Section::optional`].
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

    /// Complains of the first key that nobody known_keys for.
    ///
    /// # Errors
    ///
    /// There is such a key.
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

    /// A fault at `key` of this section.
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

    /// A fault at this section as a whole.
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
