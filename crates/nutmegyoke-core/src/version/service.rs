//! The name of a plain service.

super::name::name! {
    /// A plain service's name in the grants list and in the path `/services/NAME/...`.
    Service
}
