"""The independent review: cases with the stand-ins that they share."""
