"""The lagoonshelf daemon: runtime and adapters for the pure logic in lagoonshelf_core."""
