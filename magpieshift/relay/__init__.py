"""The fan-out tier: distributes purges, endpoint list changes and configuration versions from the change log
to the routers, in batches."""
