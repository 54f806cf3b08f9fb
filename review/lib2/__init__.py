"""Stand-ins of the second review: store, executors, machine inventory and a cell of processes."""
