"""Jobs of several steps: what they are, how far they are, and what starts next."""
