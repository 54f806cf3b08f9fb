"""Schema of the protocol between daemon processes."""
