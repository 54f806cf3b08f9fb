"""The process that runs jobs of steps: entry, holder of the cell, and their ports."""
