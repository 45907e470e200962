//! The name of a customer.

super::name::name! {
    /// A customer's name in the plans list. Requests are scheduled fairly between customers.
    Customer
}
