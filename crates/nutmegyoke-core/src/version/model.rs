//! The name of a model.

super::name::name! {
    /// A model's name in the grants list and in callers' requests.
    Model
}
