"""The fleet that capacity is worked out for: all figures of its size stand here, and nowhere else."""

from __future__ import annotations

# the product's target, as its operators state it
ROUTERS = 4_800
SITES = 370
ZONES = 24
REGIONS = 10
CACHES = 1_000
REQUESTS_PER_S = 2_900_000  # at the peak, all routers together
BITS_PER_S = 16e12  # of responses, likewise
PURGES_PER_S = 110
VERSIONS_PER_DAY = 20_000
CONTROL_MACHINES = 20
PURGE_DONE_S = 9.7  # from acceptance to the last router
VERSION_IN_FORCE_S = 4.0  # from publication to the last router

CONTROL_CPU_PERCENT = 2.1  # of a core, a router
CONTROL_MB = 32.0  # a router
CONTROL_BYTES_PER_S = 5_000  # a router

DAY_S = 86_400
VERSIONS_PER_S = VERSIONS_PER_DAY / DAY_S
REQUESTS_PER_ROUTER_S = REQUESTS_PER_S / ROUTERS  # at the mean router
BYTES_PER_ROUTER_S = BITS_PER_S / 8 / ROUTERS
BYTES_PER_REQUEST = BITS_PER_S / 8 / REQUESTS_PER_S
ROUTERS_PER_ZONE = ROUTERS // ZONES
ROUTERS_PER_MACHINE = ROUTERS // CONTROL_MACHINES
CACHES_PER_ZONE = round(CACHES / ZONES)
