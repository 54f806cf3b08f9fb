"""Server of lagoonshelf."""
