"""The experiments of ``make bench``, one module each."""
