//! Idempotence of requests.

/// Whether a request may run more than once. The setting of its route decides;
/// without one, the method does, as RFC 9110 defines it.
pub fn is_idempotent(method: &str, route: Option<bool>) -> bool {
    let by_method = matches!(
        method,
        "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
    );
    route.unwrap_or(by_method)
}
