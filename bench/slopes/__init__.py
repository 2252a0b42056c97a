"""Measures how the cost of each role grows with the size of the deployment."""
