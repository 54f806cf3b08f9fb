"""Pure scheduling decisions of lagoonshelf: no I/O, no threads, no real clock."""
