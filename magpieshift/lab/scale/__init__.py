"""Control load on many routers at once: routers without their data path, load by rate and seed, scenarios."""
