//! A library that the soak and tests preload into a gateway (LD_PRELOAD). It steps the wall clock and lets system calls fail in
//! ways that Linux documents. It names each failure on standard error. Nothing of the shipped program uses it.
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

/// What the environment asks for.
struct Config {
    rate: u64,
    /// Mapped from the file; none where there is no file.
    clock_offset: Option<&'static AtomicI64>,
}

static CONFIG: OnceLock<Config> = OnceLock::new();
static STATE: AtomicU64 = AtomicU64::new(0);

fn variable(name: &CStr) -> Option<&'static CStr> {
    // SAFETY: the name is terminated, and nobody changes the environment of the process that this is loaded into.
    let value = unsafe { libc::getenv(name.as_ptr()) };
    // SAFETY: getenv gives a terminated string or null.
    (!value.is_null()).then(|| unsafe { CStr::from_ptr(value) })
}

fn number(name: &CStr) -> u64 {
    let text = variable(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn map_clock() -> Option<&'static AtomicI64> {
    let path = variable(c"TIDEWALL_SHIM_CLOCK")?;
    // SAFETY: the path is terminated; the mapping is never taken back, and a file of 8 bytes holds an i64.
    unsafe {
        let file = libc::open(path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let (length, flags) = (size_of::<AtomicI64>(), libc::MAP_SHARED);
        let place = libc::mmap(
            std::ptr::null_mut(),
            length,
            libc::PROT_READ,
            flags,
            file,
            0,
        );
        libc::close(file);
        (place != libc::MAP_FAILED).then(|| &*place.cast::<AtomicI64>())
    }
}

fn config() -> &'static Config {
    CONFIG.get_or_init(|| {
        STATE.store(number(c"TIDEWALL_SHIM_SEED") | 1, Ordering::Relaxed);
        Config {
            rate: number(c"TIDEWALL_SHIM_RATE"),
            clock_offset: map_clock(),
        }
    })
}

/// A drawn number (splitmix64).
fn draw() -> u64 {
    let state = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let x = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// One of these errors where this call is to fail; it is named on the log and set as errno.
fn fails(call: &str, errors: &[(c_int, &str)]) -> bool {
    let rate = config().rate;
    if draw() % 10_000 >= rate {
        return false;
    }
    let (error, name) = errors[draw() as usize % errors.len()];
    log(&format!("shim: {call} {name}\n"));
    // SAFETY: errno is this thread's own.
    unsafe { *libc::__errno_location() = error };
    true
}

/// Half of the length where this call is to be cut short.
fn cut(call: &str, length: size_t) -> size_t {
    if length < 2 || draw() % 10_000 >= config().rate {
        return length;
    }
    log(&format!("shim: {call} short\n"));
    length / 2
}

fn log(line: &str) {
    // SAFETY: the bytes live as long as the call.
    unsafe { libc::write(2, line.as_ptr().cast(), line.len()) };
}

/// The next function of this name behind this library.
fn next(name: &CStr) -> *mut c_void {
    // SAFETY: the name is terminated.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast::<c_char>()) }
}

/// The C library's function of this name, looked up once.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static REAL: OnceLock<usize> = OnceLock::new();
        let address = *REAL.get_or_init(|| next($name) as usize);
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

/// clock_gettime(2): the wall clock is off by what the file says.
///
/// # Safety
/// As of the C library's.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let result = real!(c"clock_gettime", ClockGettime)(clock, time);
    if clock == libc::CLOCK_REALTIME && result == 0 {
        let offset = config()
            .clock_offset
            .map_or(0, |offset| offset.load(Ordering::Relaxed));
        (*time).tv_sec += offset;
    }
    result
}

/// accept4(2), which may fail for a moment.
///
/// # Safety
/// As of the C library's.
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
    if fails("accept4", &errors) {
        return -1;
    }
    real!(c"accept4", Accept4)(socket, address, length, flags)
}

/// connect(2), which may fail for a moment.
///
/// # Safety
/// As of the C library's.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    let errors = [
        (libc::EADDRNOTAVAIL, "EADDRNOTAVAIL"),
        (libc::ENETUNREACH, "ENETUNREACH"),
        (libc::ENOBUFS, "ENOBUFS"),
    ];
    if fails("connect", &errors) {
        return -1;
    }
    real!(c"connect", Connect)(socket, to, length)
}

/// socket(2), which may fail for a moment.
///
/// # Safety
/// As of the C library's.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let errors = [(libc::ENFILE, "ENFILE"), (libc::ENOBUFS, "ENOBUFS")];
    if kind & libc::SOCK_STREAM != 0 && domain == libc::AF_INET && fails("socket", &errors) {
        return -1;
    }
    real!(c"socket", Socket)(domain, kind, protocol)
}

/// recv(2), which may be broken off by a signal or read less.
///
/// # Safety
/// As of the C library's.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if fails("recv", &[(libc::EINTR, "EINTR")]) {
        return -1;
    }
    real!(c"recv", Recv)(socket, buffer, cut("recv", length), flags)
}

/// send(2), which may be broken off by a signal or write less.
///
/// # Safety
/// As of the C library's.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if fails("send", &[(libc::EINTR, "EINTR")]) {
        return -1;
    }
    real!(c"send", Send)(socket, buffer, cut("send", length), flags)
}
