//! How much of a lease its holder may use, given that clocks differ and that what it sends takes effect later
//! (`docs/design/common.md`). All clocks are monotonic and off the true rate by at most `clock_error_ppm` millionths.
use crate::Time;

const MILLION: u64 = 1_000_000;

/// For how long after its request a holder may use a lease: `lease_duration` is how long a grantor keeps others from the
/// lease, `permit_max_age` how old a worker lets a permit become. An effect that was sent within this time takes effect
/// before the lease has expired at any grantor, whichever clock is slow and whichever fast. 0 where nothing is left.
pub fn usable_duration(lease_duration: Time, clock_error_ppm: u64, permit_max_age: Time) -> Time {
    let by_slowest_clock =
        lease_duration * (MILLION - clock_error_ppm) / (MILLION + clock_error_ppm);
    by_slowest_clock.saturating_sub(max_effect_delay(clock_error_ppm, permit_max_age))
}

/// How long after it was sent an effect may still take place, by the sender's clock; rounded up.
pub fn max_effect_delay(clock_error_ppm: u64, permit_max_age: Time) -> Time {
    (permit_max_age * (MILLION + clock_error_ppm)).div_ceil(MILLION - clock_error_ppm)
}
