//! Identifies a plain service beside the model engines.

super::name::name! {
    /// A plain service, as named in the grants list and in the path `/services/NAME/...`.
    Service
}
