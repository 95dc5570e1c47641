//! The host that a request is for.

use hyper::{
    header::HOST,
    http::{request::Parts, uri::Authority},
};

/// Returns the host of a request in lower case and without a port; `None` if
/// there is no valid host.
pub fn request_host(head: &Parts) -> Option<String> {
    let authority = match head.uri.authority() {
        Some(authority) => authority.as_str(),
        None => {
            let mut hosts = head.headers.get_all(HOST).iter();
            let host = hosts.next()?.to_str().ok()?;
            // With two `Host` headers, a caller could choose which route
            // applies.
            match hosts.next() {
                Some(_) => return None,
                None => host,
            }
        }
    };
    host_of(authority)
}

/// Returns the host of an authority in lower case and without a port.
pub fn host_of(authority: &str) -> Option<String> {
    let authority: Authority = authority.parse().ok()?;
    Some(authority.host().to_ascii_lowercase())
}
