"""Client library and operator command of lagoonshelf."""
