"""Client of lagoonshelf."""
