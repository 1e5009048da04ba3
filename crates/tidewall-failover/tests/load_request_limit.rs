//! The rate limit of load requests.
use tidewall_failover::load_request_limit::LoadRequestLimiter;

#[test]
fn load_requests_of_both_members_count_within_the_window() {
    let mut limiter = LoadRequestLimiter::new(1_000, 1.0, 0.5);
    limiter.load_requested(0);
    assert!(!limiter.has_capacity(10));
    (0..2).for_each(|_| limiter.request_received(10));
    assert!(limiter.has_capacity(10));
    // A request that is taken over was already counted when the other member received it.
    limiter.request_received(10);
    limiter.undo_last_request();
    limiter.load_requested(10);
    assert!(!limiter.has_capacity(20));
    // First the load request leaves the window, then the client requests do.
    assert!(limiter.has_capacity(1_000));
    limiter.load_requested(1_000);
    assert!(!limiter.has_capacity(1_009));
}
