//! Identifies a model.

super::name::name! {
    /// A model, as named in the grants list and in callers' requests.
    Model
}
