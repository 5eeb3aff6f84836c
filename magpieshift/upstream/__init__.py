"""The back: caches, parents and the origin, asked in lines of words."""
