//! The name of an adapter.

super::name::name! {
    /// An adapter's name in the grants list. Callers request it in place of its model.
    Adapter
}
