"""Measurements: ratios in one run, or figures on the virtual clock with fixed seeds."""
