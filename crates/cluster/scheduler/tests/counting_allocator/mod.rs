//! An allocator that counts the memory of each thread, so that tests that run side by side do not disturb each other.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// The header of an allocation, in bytes, as in the allocator of the C library.
const HEADER_BYTES: usize = 8;
/// The granularity of allocations, in bytes.
const GRANULE_BYTES: usize = 16;
/// The smallest allocation, in bytes.
const MIN_BYTES: usize = 32;

thread_local! {
    static LIVE: Cell<isize> = const { Cell::new(0) };
    static PEAK: Cell<isize> = const { Cell::new(0) };
    static BASE: Cell<isize> = const { Cell::new(0) };
}

/// The system's allocator, with a count of what each thread has allocated and not freed.
pub(crate) struct CountingAllocator;

/// Starts a new measurement: what is allocated now does not count in the first one of a thread, and later ones only
/// forget the peak.
pub(crate) fn reset_peak() {
    if BASE.get() == 0 {
        BASE.set(LIVE.get());
    }
    PEAK.set(LIVE.get());
}

/// Returns the highest amount of memory since `reset_peak`, in bytes.
pub(crate) fn peak_bytes() -> usize {
    usize::try_from(PEAK.get() - BASE.get()).unwrap_or_default()
}

fn add(bytes: isize) {
    // The cells are gone while a thread ends.
    let live = LIVE.try_with(|live| {
        live.set(live.get() + bytes);
        live.get()
    });
    if let Ok(live) = live {
        let _ = PEAK.try_with(|peak| peak.set(peak.get().max(live)));
    }
}

/// Returns the memory that an allocation takes with its header.
fn chunk_bytes(bytes: usize) -> isize {
    let chunk = (bytes + HEADER_BYTES).next_multiple_of(GRANULE_BYTES);
    chunk.max(MIN_BYTES) as isize
}

// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(chunk_bytes(layout.size()));
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        add(-chunk_bytes(layout.size()));
        System.dealloc(pointer, layout);
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        // Both exist while the content is copied.
        add(chunk_bytes(new_size));
        let moved = System.realloc(pointer, layout, new_size);
        add(-chunk_bytes(layout.size()));
        moved
    }
}
