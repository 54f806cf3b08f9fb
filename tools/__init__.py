"""Tools of the project."""
