//! How long a holder may use its lease, given that clocks differ and that an effect takes place some time
//! after it was sent (`docs/design/common.md`). All clocks are monotonic, and their rates deviate from true
//! time by at most `clock_error_ppm` parts per million.
use crate::Time;

const MILLION: u64 = 1_000_000;

/// How long after its request a holder may use a lease. `lease_duration` is how long a grantor keeps other
/// members from the lease, `permit_max_age` is the age at which a worker rejects a permit. An effect sent
/// within the returned duration takes place before the lease has expired at any grantor, whichever clocks are
/// slow or fast. The result is 0 if no usable time remains.
pub fn usable_duration(lease_duration: Time, clock_error_ppm: u64, permit_max_age: Time) -> Time {
    let by_slowest_clock =
        lease_duration * (MILLION - clock_error_ppm) / (MILLION + clock_error_ppm);
    by_slowest_clock.saturating_sub(max_effect_delay(clock_error_ppm, permit_max_age))
}

/// How long after it was sent an effect may still take place, measured by the sender's clock and rounded up.
pub fn max_effect_delay(clock_error_ppm: u64, permit_max_age: Time) -> Time {
    (permit_max_age * (MILLION + clock_error_ppm)).div_ceil(MILLION - clock_error_ppm)
}
