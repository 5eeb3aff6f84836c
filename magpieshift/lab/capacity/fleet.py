"""Size, load and budgets of the target fleet. Capacity code takes all such figures from here."""

from __future__ import annotations

# The target fleet, as stated by the product's operators.
ROUTERS = 4_800
SITES = 370
ZONES = 24
REGIONS = 10
CACHES = 1_000
REQUESTS_PER_S = 2_900_000  # requests to the whole fleet at the peak
BITS_PER_S = 16e12  # response bits from the whole fleet at the peak
PURGES_PER_S = 110
VERSIONS_PER_DAY = 20_000
CONTROL_MACHINES = 20
PURGE_DONE_S = 9.7  # maximum time from the acceptance of a purge until the last router has applied it
# maximum time from the publication of a version until it is in force on the last router
VERSION_IN_FORCE_S = 4.0

# What the control plane may use on each router.
CONTROL_CPU_PERCENT = 2.1  # percent of a core
CONTROL_MB = 32.0
CONTROL_BYTES_PER_S = 5_000

DAY_S = 86_400
VERSIONS_PER_S = VERSIONS_PER_DAY / DAY_S
REQUESTS_PER_ROUTER_S = REQUESTS_PER_S / ROUTERS  # mean over all routers
BYTES_PER_ROUTER_S = BITS_PER_S / 8 / ROUTERS
BYTES_PER_REQUEST = BITS_PER_S / 8 / REQUESTS_PER_S
ROUTERS_PER_ZONE = ROUTERS // ZONES
ROUTERS_PER_MACHINE = ROUTERS // CONTROL_MACHINES
CACHES_PER_ZONE = round(CACHES / ZONES)
