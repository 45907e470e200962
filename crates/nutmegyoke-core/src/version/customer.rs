//! Identifies who bought a plan.

super::name::name! {
    /// A customer, as named in the plans list. Fairness between requests is per customer.
    Customer
}
