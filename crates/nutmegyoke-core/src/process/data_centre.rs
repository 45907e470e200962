//! Identifies a data centre.

crate::version::name::name! {
    /// A data centre, as named in a process's settings.
    DataCentre
}
