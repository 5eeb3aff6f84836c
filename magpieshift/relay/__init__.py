"""The fan-out tier between the change log and the routers: purges, list changes and versions, in batches."""
