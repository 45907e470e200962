//! Identifies an adapter of a model.

super::name::name! {
    /// An adapter, as named in the grants list. Callers name it in place of its model.
    Adapter
}
