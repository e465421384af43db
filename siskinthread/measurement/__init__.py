"""Measurements of cost, capacity and quality of decisions."""
