//! The name of a data centre.

crate::version::name::name! {
    /// A data centre's name in the settings of a process.
    DataCentre
}
