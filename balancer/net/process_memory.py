"""The resident memory of this process, as the system counts it (proc(5), statm)."""

from __future__ import annotations

import contextlib
import mmap
import os
import resource

STATM_PATH = "/proc/self/statm"
STATM_BYTES = 128


def resident_bytes() -> int:
    """Return the resident memory; its peak where the system does not tell the present one."""
    with contextlib.suppress(OSError, IndexError, ValueError):
        descriptor = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        try:
            return int(os.read(descriptor, STATM_BYTES).split()[1]) * mmap.PAGESIZE
        finally:
            os.close(descriptor)
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
