//! A library that the soak and other tests preload into a gateway (`LD_PRELOAD`). It shifts the wall clock
//! and makes system calls fail in ways that Linux documents. It writes each failure to standard error. The
//! shipped program does not use it.
//!
//! | Variable | Meaning |
//! |---|---|
//! | `TIDEWALL_SHIM_SEED` | seed of the draws |
//! | `TIDEWALL_SHIM_RATE` | how many of 10,000 calls fail or are cut short; 0 for none |
//! | `TIDEWALL_SHIM_CLOCK` | a file whose first 8 bytes, native order, are added to the wall clock, in seconds |
use libc::{c_char, c_int, c_void, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// The configuration from the environment.
struct Config {
    rate: u64,
    /// The offset in the mapped clock file, in seconds; none without a file.
    clock_offset: Option<&'static AtomicI64>,
}

static CONFIG: OnceLock<Config> = OnceLock::new();
static RNG_STATE: AtomicU64 = AtomicU64::new(0);

fn env_value(name: &CStr) -> Option<&'static CStr> {
    // SAFETY: the name is NUL-terminated, and the gateway that loads this library does not change its
    // environment.
    let value = unsafe { libc::getenv(name.as_ptr()) };
    // SAFETY: getenv returns a NUL-terminated string or null.
    (!value.is_null()).then(|| unsafe { CStr::from_ptr(value) })
}

fn env_number(name: &CStr) -> u64 {
    let text = env_value(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn map_clock() -> Option<&'static AtomicI64> {
    let path = env_value(c"TIDEWALL_SHIM_CLOCK")?;
    // SAFETY: the path is NUL-terminated; the mapping is never removed, and its 8 bytes hold an i64.
    unsafe {
        let file = libc::open(path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let (length, flags) = (size_of::<AtomicI64>(), libc::MAP_SHARED);
        let mapping = libc::mmap(
            std::ptr::null_mut(),
            length,
            libc::PROT_READ,
            flags,
            file,
            0,
        );
        libc::close(file);
        (mapping != libc::MAP_FAILED).then(|| &*mapping.cast::<AtomicI64>())
    }
}

fn config() -> &'static Config {
    CONFIG.get_or_init(|| {
        RNG_STATE.store(env_number(c"TIDEWALL_SHIM_SEED") | 1, Ordering::Relaxed);
        Config {
            rate: env_number(c"TIDEWALL_SHIM_RATE"),
            clock_offset: map_clock(),
        }
    })
}

/// Draws a pseudo-random number (splitmix64).
fn draw() -> u64 {
    let state = RNG_STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let x = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Decides whether this call fails. If so, it draws one of these errors, logs its name and sets errno to it.
fn inject_error(call: &str, errors: &[(c_int, &str)]) -> bool {
    let rate = config().rate;
    if draw() % 10_000 >= rate {
        return false;
    }
    let (error, name) = errors[draw() as usize % errors.len()];
    log(&format!("shim: {call} {name}\n"));
    // SAFETY: errno belongs to the calling thread.
    unsafe { *libc::__errno_location() = error };
    true
}

/// Returns the length for this call: half of `length` if a draw decides that the call is cut short.
fn shorten(call: &str, length: size_t) -> size_t {
    if length < 2 || draw() % 10_000 >= config().rate {
        return length;
    }
    log(&format!("shim: {call} short\n"));
    length / 2
}

fn log(line: &str) {
    // SAFETY: the bytes outlive the call.
    unsafe { libc::write(2, line.as_ptr().cast(), line.len()) };
}

/// The function of this name in the libraries that are loaded after this one.
fn next_symbol(name: &CStr) -> *mut c_void {
    // SAFETY: the name is NUL-terminated.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast::<c_char>()) }
}

/// The C library's function of this name, looked up once.
macro_rules! libc_function {
    ($name:literal, $type:ty) => {{
        static FUNCTION: OnceLock<usize> = OnceLock::new();
        let address = *FUNCTION.get_or_init(|| next_symbol($name) as usize);
        // SAFETY: the C library's function of this name has this type.
        unsafe { std::mem::transmute::<usize, $type>(address) }
    }};
}

type ClockGettime = unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int;
type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

/// clock_gettime(2): adds the offset in the clock file to the wall clock.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let result = libc_function!(c"clock_gettime", ClockGettime)(clock, time);
    if clock == libc::CLOCK_REALTIME && result == 0 {
        let offset = config()
            .clock_offset
            .map_or(0, |offset| offset.load(Ordering::Relaxed));
        (*time).tv_sec += offset;
    }
    result
}

/// accept4(2), which may fail with a transient error.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let errors = [
        (libc::ECONNABORTED, "ECONNABORTED"),
        (libc::ENFILE, "ENFILE"),
        (libc::ENOBUFS, "ENOBUFS"),
        (libc::EINTR, "EINTR"),
        (libc::EPROTO, "EPROTO"),
    ];
    if inject_error("accept4", &errors) {
        return -1;
    }
    libc_function!(c"accept4", Accept4)(socket, address, length, flags)
}

/// connect(2), which may fail with a transient error.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    let errors = [
        (libc::EADDRNOTAVAIL, "EADDRNOTAVAIL"),
        (libc::ENETUNREACH, "ENETUNREACH"),
        (libc::ENOBUFS, "ENOBUFS"),
    ];
    if inject_error("connect", &errors) {
        return -1;
    }
    libc_function!(c"connect", Connect)(socket, to, length)
}

/// socket(2), which may fail with a transient error for IPv4 stream sockets.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let errors = [(libc::ENFILE, "ENFILE"), (libc::ENOBUFS, "ENOBUFS")];
    if kind & libc::SOCK_STREAM != 0 && domain == libc::AF_INET && inject_error("socket", &errors) {
        return -1;
    }
    libc_function!(c"socket", Socket)(domain, kind, protocol)
}

/// recv(2), which may be interrupted by a signal or read at most half of the requested bytes.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if inject_error("recv", &[(libc::EINTR, "EINTR")]) {
        return -1;
    }
    libc_function!(c"recv", Recv)(socket, buffer, shorten("recv", length), flags)
}

/// send(2), which may be interrupted by a signal or write at most half of the bytes.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if inject_error("send", &[(libc::EINTR, "EINTR")]) {
        return -1;
    }
    libc_function!(c"send", Send)(socket, buffer, shorten("send", length), flags)
}
